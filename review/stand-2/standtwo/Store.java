package standtwo;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: tables of rows, read as a whole or as changes. */
final class Store implements AutoCloseable {
    private final HttpServer mServer;
    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<String, Row> mRows = new TreeMap<>();
    private long mVersion;

    private record Row(String table, String key, String base64, long version, boolean removed) {}

    Store() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 128);
        mServer.setExecutor(mThreads);
        mServer.createContext("/v1/rows-get", exchange -> answer(exchange, false));
        mServer.createContext("/v1/rows-feed", exchange -> answer(exchange, true));
        mServer.createContext("/v1/rows-tx", this::write);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    /** Writes a row. */
    synchronized void put(String table, String key, String text) {
        putBase64(
                table,
                key,
                Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
    }

    private void putBase64(String table, String key, String value) {
        mRows.put(table + "/" + key, new Row(table, key, value, ++mVersion, false));
        notifyAll();
    }

    /** Removes a row. */
    synchronized void remove(String table, String key) {
        mRows.put(table + "/" + key, new Row(table, key, "", ++mVersion, true));
        notifyAll();
    }

    private void answer(HttpExchange exchange, boolean changes) throws IOException {
        try (exchange) {
            Map<String, String> query = query(exchange);
            String body =
                    changes
                            ? awaitChanges(query)
                            : page(query.get("table"), -1, query.getOrDefault("from", ""));
            send(exchange, 200, body);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void send(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        for (String part : text == null ? new String[0] : text.split("&")) {
            int equals = part.indexOf('=');
            query.put(
                    part.substring(0, equals),
                    URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized String awaitChanges(Map<String, String> query)
            throws InterruptedException {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long until = System.currentTimeMillis() + Long.parseLong(query.get("wait_ms"));
        long left = until - System.currentTimeMillis();
        while (!changedAfter(table, after) && left > 0) {
            wait(left);
            left = until - System.currentTimeMillis();
        }
        return page(table, after, "");
    }

    private boolean changedAfter(String table, long after) {
        return mRows.values().stream()
                .anyMatch(row -> row.table().equals(table) && row.version() > after);
    }

    private synchronized String page(String table, long after, String from) {
        StringBuilder rows = new StringBuilder();
        mRows.values().stream()
                .filter(row -> row.table().equals(table) && row.version() > after)
                .filter(row -> row.key().compareTo(from) >= 0)
                .filter(row -> after >= 0 || !row.removed())
                .sorted(
                        (one, other) ->
                                after < 0 ? 0 : Long.compare(one.version(), other.version()))
                .forEach(row -> rows.append(rows.isEmpty() ? "" : ",").append(text(row)));
        return "{\"rows\":["
                + rows
                + "],\"more_pages\":false,\"ver\":"
                + mVersion
                + ",\"now_ms\":"
                + System.nanoTime() / 1_000_000
                + "}";
    }

    private static String text(Row row) {
        return "{\"table\":"
                + Json.quote(row.table())
                + ",\"part\":\"\",\"key\":"
                + Json.quote(row.key())
                + ",\"value\":"
                + Json.quote(row.base64())
                + ",\"ver\":"
                + row.version()
                + (row.removed() ? ",\"removed\":true}" : "}");
    }

    private void write(HttpExchange exchange) throws IOException {
        try (exchange) {
            String text =
                    new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            boolean written = write(Json.object(Json.parse(text)));
            send(
                    exchange,
                    written ? 200 : 412,
                    "{\"ver\":" + mVersion + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}");
        }
    }

    private synchronized boolean write(Map<String, Object> transaction) {
        for (Object each : Json.list(transaction.get("expected_rev"))) {
            Map<String, Object> expected = Json.object(each);
            Row row = mRows.get(expected.get("table") + "/" + expected.get("key"));
            long version = row == null || row.removed() ? 0 : row.version();
            if (version != (Long) expected.get("ver")) {
                return false;
            }
        }
        for (Object each : Json.list(transaction.get("puts"))) {
            Map<String, Object> put = Json.object(each);
            putBase64(
                    (String) put.get("table"), (String) put.get("key"), (String) put.get("value"));
        }
        return true;
    }

    @Override
    public void close() {
        mServer.stop(0);
        mThreads.shutdownNow();
    }
}
