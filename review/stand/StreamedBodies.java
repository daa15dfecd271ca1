import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streaming requests at the rate that is planned for one node at the peak, then at the ordinary
 * rate. Nothing else happens: no process is stopped, and no engine fails.
 */
final class StreamedBodies {
    /** Less than the largest body of the sheet's first kind of request, 110,000 bytes. */
    private static final int BODY_BYTES = 100_000;

    /** 10,000 requests a second on 450 nodes. */
    private static final int PEAK_PER_SECOND = 22;

    private static final int ORDINARY_PER_SECOND = 4;
    private static final long PEAK_MILLIS = 72_000;
    private static final long ORDINARY_MILLIS = 25_000;
    private static final int UNSAFE_TIMEOUT_MILLIS = 800;
    private static final int STREAM_TIMEOUT_MILLIS = 6_000;
    private static final int SLACK_MILLIS = 500;

    private final Site mSite;
    private final boolean mStreams;
    private final AtomicInteger mAnswered = new AtomicInteger();

    /** Requests that are unanswered at their route's timeout_ms, and half a second later. */
    private final AtomicInteger mAtTimeout = new AtomicInteger();

    private final AtomicInteger mPastTimeout = new AtomicInteger();

    private StreamedBodies(Site site, boolean streams) {
        mSite = site;
        mStreams = streams;
    }

    public static void main(String[] arguments) {
        // Without the trouble the same bodies go to the unsafe route, which does not stream.
        Play.run(arguments[0], (site, trouble) -> new StreamedBodies(site, trouble).play());
    }

    private int play() throws Exception {
        mSite.configure(7);
        for (int number = 1; number <= 4; number++) {
            mSite.engine("i-flotte" + number, "flotte", "zone-rennes", true);
            mSite.engine("i-livre" + number, "livre", "zone-rennes", false);
        }
        mSite.start(1);
        Gateway gateway = mSite.gateways.getFirst();
        int ready = 0;
        try (ExecutorService consumers = Executors.newVirtualThreadPerTaskExecutor()) {
            send(consumers, PEAK_PER_SECOND, PEAK_MILLIS);
            tell("peak over");
            mAnswered.set(0);
            mAtTimeout.set(0);
            mPastTimeout.set(0);
            consumers.submit(() -> send(consumers, ORDINARY_PER_SECOND, ORDINARY_MILLIS));
            for (long end = mSite.journal.millis() + ORDINARY_MILLIS;
                    mSite.journal.millis() < end; ) {
                boolean isReady = gateway.ready();
                mSite.journal.say("ready    " + isReady + ", process alive " + gateway.alive());
                ready += isReady ? 1 : 0;
                Thread.sleep(1_000);
            }
        }
        tell("ordinary rate over, ready answered " + ready + " times");
        boolean broken = mAtTimeout.get() >= 8 && 2 * mPastTimeout.get() > mAtTimeout.get();
        mSite.journal.say(
                "result   of "
                        + mAtTimeout
                        + " requests unanswered at timeout_ms "
                        + mPastTimeout
                        + " have no answer "
                        + SLACK_MILLIS
                        + " ms later, "
                        + mAnswered
                        + " were answered, process alive "
                        + gateway.alive()
                        + "; "
                        + (broken ? "rule broken" : "rule held"));
        System.out.println(
                mAnswered
                        + " answered, "
                        + mPastTimeout
                        + " unanswered half a second past timeout_ms");
        return broken ? 1 : 0;
    }

    private void tell(String when) {
        mSite.journal.say(
                "state    "
                        + when
                        + ": answered "
                        + mAnswered
                        + ", unanswered at timeout_ms "
                        + mAtTimeout
                        + ", half a second later "
                        + mPastTimeout);
    }

    private Void send(ExecutorService consumers, int perSecond, long millis) throws Exception {
        long start = System.nanoTime();
        for (int number = 1; number <= perSecond * millis / 1_000; number++) {
            consumers.submit(this::ask);
            long next = start + number * 1_000_000_000L / perSecond;
            Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
        }
        return null;
    }

    private void ask() {
        int timeout = mStreams ? STREAM_TIMEOUT_MILLIS : UNSAFE_TIMEOUT_MILLIS;
        String id = mSite.nextId();
        String head = mStreams ? Site.draft(id) : Site.transfer(id);
        long sent = mSite.journal.millis();
        int status =
                mSite.send(
                        mSite.gateways.getFirst(),
                        head,
                        id,
                        new byte[BODY_BYTES],
                        timeout + SLACK_MILLIS);
        long elapsed = mSite.journal.millis() - sent;
        if (status != 0) {
            mAnswered.incrementAndGet();
        }
        if (elapsed >= timeout) {
            mAtTimeout.incrementAndGet();
            mPastTimeout.addAndGet(status == 0 ? 1 : 0);
        }
    }
}
