import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's metadata store: tables with one version counter, and a feed. */
final class Store {
    private static final long ANSWER_MILLIS = 4;
    private static final Pattern PUT =
            Pattern.compile(
                    "\"table\":\"([^\"]*)\",\"part\":\"\",\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"");

    record Row(String table, String key, byte[] value, long version, boolean removed) {}

    /** Decides what happens to the answer of one call. */
    interface Faults {
        /** Returns true if this answer is lost; its connection then delivers nothing further. */
        boolean loses(String instance, String target, List<Row> rows);
    }

    private final Map<String, Row> mRows = new TreeMap<>();
    private final Map<String, ServerSocket> mListeners = new HashMap<>();
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> mLastFeed = new ConcurrentHashMap<>();
    private final Map<String, UnaryOperator<String>> mViews = new ConcurrentHashMap<>();
    private volatile Faults mFaults = (instance, target, rows) -> false;
    private volatile boolean mAway;
    private volatile Set<String> mTurnedAway = Set.of();
    private long mVersion = 1000;
    private int mEra = 1;

    /** Opens an address for one instance, so that it can be told from the others. */
    int listen(String instance) throws Exception {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        mListeners.put(instance, server);
        Thread.startVirtualThread(() -> accept(instance, server));
        return server.getLocalPort();
    }

    /** Sets what one instance sees of a value, as links of its own lead it to the engines. */
    void view(String instance, UnaryOperator<String> values) {
        mViews.put(instance, values);
    }

    void faults(Faults faults) {
        mFaults = faults;
    }

    /** Sets the instances that get 503 for every call. */
    void turnAway(Set<String> instances) {
        mTurnedAway = instances;
    }

    private void accept(String instance, ServerSocket server) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                if (mAway) {
                    reset(socket);
                    continue;
                }
                mOpen.add(socket);
                Thread.startVirtualThread(() -> serve(instance, socket));
            } catch (Exception closed) {
                return;
            }
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (Exception ignored) {
            // It is closed already.
        }
    }

    private void serve(String instance, Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message call = Http.read(in);
                if (call == null) {
                    return;
                }
                if (mTurnedAway.contains(instance)) {
                    Http.write(
                            out,
                            "HTTP/1.1 503 Service Unavailable\r\nStore-Era: " + era(),
                            new byte[0]);
                    continue;
                }
                Answer answer = answer(instance, call);
                Thread.sleep(ANSWER_MILLIS);
                if (mFaults.loses(instance, call.target(), answer.rows())) {
                    // Nothing more is delivered on this connection, and it stays open.
                    Thread.sleep(3_600_000);
                    return;
                }
                Http.write(
                        out,
                        "HTTP/1.1 "
                                + answer.status()
                                + "\r\nContent-Type: application/json\r\nStore-Era: "
                                + era(),
                        answer.body().getBytes());
            }
        } catch (Exception closed) {
            // The caller is gone, or the store is away.
        } finally {
            mOpen.remove(socket);
        }
    }

    private record Answer(String status, String body, List<Row> rows) {}

    private Answer answer(String instance, Http.Message call) throws InterruptedException {
        Map<String, String> query = Http.query(call.target());
        String path = call.target().split("\\?")[0];
        switch (path) {
            case "/v1/rows-get":
                return page(instance, query.get("table"), -1, query.getOrDefault("from", ""));
            case "/v1/rows-feed":
                mLastFeed.put(instance + " " + query.get("table"), System.nanoTime());
                return feed(instance, query);
            case "/v1/rows-tx":
                Matcher put = PUT.matcher(new String(call.body()));
                while (put.find()) {
                    put(put.group(1), put.group(2), Base64.getDecoder().decode(put.group(3)));
                }
                return new Answer(
                        "200 OK",
                        "{\"ver\":" + version() + ",\"now_ms\":" + now() + "}",
                        List.of());
            default:
                return new Answer("404 Not Found", "{}", List.of());
        }
    }

    /** Returns how many milliseconds ago an instance last asked for changes of a table. */
    long sinceLastFeed(String instance, String table) {
        Long last = mLastFeed.get(instance + " " + table);
        return last == null ? Long.MAX_VALUE : (System.nanoTime() - last) / 1_000_000;
    }

    private synchronized Answer feed(String instance, Map<String, String> query)
            throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        int era = mEra;
        while (true) {
            if (after > mVersion || era != mEra) {
                return new Answer("410 Gone", "{}", List.of());
            }
            Answer page = page(instance, query.get("table"), after, "");
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!page.rows().isEmpty() || left <= 0) {
                return page;
            }
            wait(left);
        }
    }

    private synchronized Answer page(String instance, String table, long after, String from) {
        List<Row> rows = new ArrayList<>();
        for (Row row : mRows.values()) {
            boolean wanted = row.table().equals(table) && row.version() > after;
            if (wanted && (after >= 0 || !row.removed()) && row.key().compareTo(from) >= 0) {
                rows.add(row);
            }
        }
        if (after >= 0) {
            rows.sort(Comparator.comparingLong(Row::version));
        }
        StringBuilder text = new StringBuilder("{\"rows\":[");
        for (Row row : rows) {
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append("{\"table\":\"")
                    .append(row.table())
                    .append("\",\"part\":\"\",\"key\":\"")
                    .append(row.key())
                    .append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(seen(instance, row)))
                    .append("\",\"ver\":")
                    .append(row.version())
                    .append(row.removed() ? ",\"removed\":true}" : "}");
        }
        text.append("],\"more_pages\":false,\"ver\":")
                .append(mVersion)
                .append(",\"now_ms\":")
                .append(now())
                .append("}");
        return new Answer("200 OK", text.toString(), rows);
    }

    private byte[] seen(String instance, Row row) {
        UnaryOperator<String> view = mViews.get(instance);
        return view == null ? row.value() : view.apply(new String(row.value())).getBytes();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    synchronized long version() {
        return mVersion;
    }

    synchronized int era() {
        return mEra;
    }

    long put(String table, String key, String json) {
        return put(table, key, json.getBytes());
    }

    synchronized long put(String table, String key, byte[] value) {
        mRows.put(table + "/" + key, new Row(table, key, value, ++mVersion, false));
        notifyAll();
        return mVersion;
    }

    synchronized long remove(String table, String key) {
        mRows.put(table + "/" + key, new Row(table, key, new byte[0], ++mVersion, true));
        notifyAll();
        return mVersion;
    }

    /** A copy of all rows, from which the store can come back. */
    record Copy(Map<String, Row> rows, long version) {}

    synchronized Copy copy() {
        return new Copy(new TreeMap<>(mRows), mVersion);
    }

    boolean away() {
        return mAway;
    }

    /** Goes away: open connections are reset, and new ones too. */
    void goAway() {
        mAway = true;
        mOpen.forEach(Store::reset);
    }

    /** Comes back from a copy; the era rises by one. */
    synchronized void comeBack(Copy copy) {
        mRows.clear();
        mRows.putAll(copy.rows());
        mVersion = copy.version();
        mEra++;
        mAway = false;
        notifyAll();
    }
}
