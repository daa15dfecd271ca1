import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A release replaces the engines of one software version by those of another; soon after, all
 * instances are killed at once and start again. Consumers take up the streams that broke.
 */
final class Versions {
    private static final int STREAMS = 12;
    private static final int EVENTS = 100;
    private static final long EVENT_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 15_000;
    private static final int RETRIES = 1;
    private static final long RETRY_MILLIS = 2_000;
    private static final long RESTART_MILLIS = 300;
    private static final int ALLOWED = 2;
    private static final String ROUTE =
            "{\"name\":\"r-chat\",\"host\":\"pule25.example\",\"prefix\":\"/lofa12/\",\"kind\":\"streaming\","
                + "\"timeout_ms\":15000,\"goal_ms\":2700,\"priority\":2,\"service\":\"flotte\",\"max_attempts\":2,"
                + "\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":400},";

    public static void main(String[] arguments) {
        Play.run(arguments[0], Versions::play);
    }

    private static int play(Site site, boolean trouble) throws Exception {
        site.store.put("op", "config", Site.configuration(7, ROUTE, Site.keys(Site.KEY)));
        List<Engine> old = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            old.add(engine(site, "i-old" + number, "v1"));
            site.engine("i-livre" + number, "livre", "zone-rennes", false);
        }
        site.start(2);
        Thread.sleep(2_000);
        int mixed = 0;
        try (ExecutorService consumers = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Stream>> streams = new ArrayList<>();
            for (int number = 0; number < STREAMS; number++) {
                int first = number % 2;
                streams.add(consumers.submit(() -> new Stream(site, first).read()));
                Thread.sleep(50);
            }
            Thread.sleep(500);
            release(site, old);
            Thread.sleep(1_000);
            if (trouble) {
                killAll(site);
            }
            for (Future<Stream> each : streams) {
                Stream stream = each.get();
                site.journal.say("stream   " + stream);
                mixed += stream.mVersions.size() > 1 ? 1 : 0;
            }
        }
        site.journal.say(
                "result   "
                        + mixed
                        + " streams hold events of two software versions; "
                        + (mixed > ALLOWED ? "rule broken" : "rule held"));
        System.out.println(
                mixed + " of " + STREAMS + " streams hold events of two software versions");
        return mixed > ALLOWED ? 1 : 0;
    }

    private static Engine engine(Site site, String id, String version) throws Exception {
        Engine engine = site.engine(id, "flotte", "zone-rennes", true);
        engine.version(version);
        engine.events(EVENTS, EVENT_MILLIS);
        return engine;
    }

    /** Each new engine starts first; the old one takes its entry out and serves on. */
    private static void release(Site site, List<Engine> old) throws Exception {
        for (int number = 1; number <= old.size(); number++) {
            engine(site, "i-new" + number, "v2");
            site.journal.say("release  i-new" + number + " with version v2 starts");
            Thread.sleep(300);
            old.get(number - 1).unregister();
            site.journal.say(
                    "release  the entry of "
                            + old.get(number - 1).id()
                            + " is removed, it serves on");
            Thread.sleep(300);
        }
    }

    private static void killAll(Site site) throws Exception {
        site.gateways.forEach(Gateway::kill);
        site.journal.say("kill     all instances");
        Thread.sleep(RESTART_MILLIS);
        for (Gateway gateway : site.gateways) {
            gateway.start(site.root());
        }
        site.journal.say("start    all instances");
    }

    /** A stream and the tries of its consumer. */
    private static final class Stream {
        private final Site mSite;
        private final int mFirst;
        private final Set<String> mVersions = new TreeSet<>();
        private final StringBuilder mTries = new StringBuilder();
        private String mBegunBy = "";
        private int mLast;
        private boolean mComplete;

        Stream(Site site, int first) {
            mSite = site;
            mFirst = first;
        }

        Stream read() throws Exception {
            long end = mSite.journal.millis() + DEADLINE_MILLIS;
            for (int tries = 0; tries <= RETRIES && !mComplete; tries++) {
                long left = end - mSite.journal.millis();
                if (left <= 0) {
                    break;
                }
                attempt(mSite.gateways.get((mFirst + tries) % 2), (int) left);
                if (!mComplete) {
                    Thread.sleep(RETRY_MILLIS);
                }
            }
            return this;
        }

        /** Reads until the stream is complete or its channel ends. */
        private void attempt(Gateway gateway, int left) {
            String id = mSite.nextId();
            StringBuilder head =
                    new StringBuilder(
                            Site.head("POST", "pule25.example", "/lofa12/2f", id, Site.KEY, left));
            head.append("\r\nX-Wasabilug-Model: m\r\nX-Wasabilug-Token-Counts: 715,280")
                    .append("\r\nX-Wasabilug-Prefix-Hash: 5c1e07a2:172,")
                    .append(id.substring(8))
                    .append(":543");
            if (mLast > 0) {
                head.append("\r\nLast-Event-Id: ")
                        .append(mLast)
                        .append("\r\nResumes: ")
                        .append(mBegunBy);
            }
            mSite.journal.say(
                    "send     "
                            + id
                            + " to "
                            + gateway.name()
                            + (mLast > 0
                                    ? ", goes on after event " + mLast + " of " + mBegunBy
                                    : ""));
            String status = "none";
            try (Socket socket = gateway.connect(left)) {
                Http.write(socket.getOutputStream(), head.toString(), new byte[1_400]);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                status = Http.line(in);
                status = status == null ? "closed" : status.split(" ")[1];
                for (String line = Http.line(in); line != null && !line.isEmpty(); ) {
                    line = Http.line(in);
                }
                if (status.equals("200")) {
                    readChunks(in, id);
                }
            } catch (Exception broken) {
                status = status + " broken";
            }
            mTries.append(' ').append(id).append('=').append(status);
            mSite.journal.say(
                    "answer   "
                            + id
                            + " "
                            + status
                            + ", events until "
                            + mLast
                            + " of versions "
                            + mVersions
                            + (mComplete ? ", complete" : ""));
        }

        private void readChunks(InputStream in, String id) throws IOException {
            while (true) {
                String size = Http.line(in);
                if (size == null) {
                    throw new IOException("the channel ended");
                }
                int length = Integer.parseInt(size.trim(), 16);
                String text = new String(in.readNBytes(length));
                Http.line(in);
                if (length == 0) {
                    mComplete = true;
                    return;
                }
                for (String line : text.split("\n")) {
                    if (line.startsWith("id: ")) {
                        mLast = Integer.parseInt(line.substring(4));
                        mBegunBy = mBegunBy.isEmpty() ? id : mBegunBy;
                    } else if (line.startsWith("data: ")) {
                        mVersions.add(line.split(" ")[1]);
                    }
                }
            }
        }

        @Override
        public String toString() {
            return "begun by "
                    + mBegunBy
                    + ", "
                    + mLast
                    + " events of versions "
                    + mVersions
                    + (mComplete ? ", complete" : ", not complete")
                    + "; tries"
                    + mTries;
        }
    }
}
