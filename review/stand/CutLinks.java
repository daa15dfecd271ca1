import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three instances loses all its links to the engines: its channels to them hang, or with
 * LINKS=reset they are reset.
 */
final class CutLinks {
    private static final long CONTACT_MILLIS = 3_000;
    private static final long CUT_MILLIS = 11_500;
    private static final int PER_SECOND = 20;
    private static final int TIMEOUT_MILLIS = 3_000;

    private final Site mSite;
    private final Map<String, AtomicInteger> mTries = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mServed = new ConcurrentHashMap<>();
    private volatile long mJudgedFrom = Long.MAX_VALUE;
    private volatile long mJudgedUntil = Long.MAX_VALUE;
    private volatile boolean mStopped;

    private CutLinks(Site site) {
        mSite = site;
    }

    public static void main(String[] arguments) {
        Play.run(arguments[0], (site, trouble) -> new CutLinks(site).play(trouble));
    }

    private int play(boolean trouble) throws Exception {
        mSite.configure(7);
        for (int number = 1; number <= 4; number++) {
            String zone = number % 2 == 0 ? "zone-brest" : "zone-rennes";
            mSite.engine("i-livre" + number, "livre", zone, false);
            mSite.engine("i-flotte" + number, "flotte", zone, true);
        }
        List<Link> links = links(Site.name(1));
        mSite.start(3);
        Gateway cut = mSite.gateways.getFirst();
        try (ExecutorService consumers = Executors.newVirtualThreadPerTaskExecutor()) {
            consumers.submit(() -> send(consumers));
            Thread.sleep(4_000);
            Link.State state =
                    "reset".equals(System.getenv("LINKS"))
                            ? Link.State.RESETTING
                            : Link.State.HANGING;
            if (trouble) {
                links.forEach(link -> link.state(state));
            }
            long begin = mSite.journal.millis();
            mSite.journal.say(
                    "cut      the links of "
                            + cut.name()
                            + " to all engines: "
                            + (trouble ? state : Link.State.OPEN));
            mJudgedFrom = begin + CONTACT_MILLIS;
            // A first try is judged if the cut lasts until after its answer is due.
            mJudgedUntil = begin + CUT_MILLIS - 1_500;
            Thread.sleep(CUT_MILLIS);
            links.forEach(link -> link.state(Link.State.OPEN));
            mSite.journal.say("cut      over");
            mStopped = true;
        }
        for (Link link : links) {
            link.close();
        }
        return judge(cut.name());
    }

    private int judge(String cut) {
        int tries = count(mTries, cut);
        int served = count(mServed, cut);
        int otherTries = total(mTries) - tries;
        int otherServed = total(mServed) - served;
        boolean less = 3L * served * otherTries < 2L * otherServed * tries;
        boolean many = tries - served > 10 + tries / 50;
        boolean broken = less && many;
        mSite.journal.say(
                "result   the machine that is cut off served "
                        + served
                        + " of "
                        + tries
                        + " first tries, the others "
                        + otherServed
                        + " of "
                        + otherTries
                        + "; "
                        + (broken ? "rule broken" : "rule held"));
        System.out.println(
                served
                        + " of "
                        + tries
                        + " first tries served, at the others "
                        + otherServed
                        + " of "
                        + otherTries);
        return broken ? 1 : 0;
    }

    private static int count(Map<String, AtomicInteger> counts, String name) {
        return counts.getOrDefault(name, new AtomicInteger()).get();
    }

    private static int total(Map<String, AtomicInteger> counts) {
        return counts.values().stream().mapToInt(AtomicInteger::get).sum();
    }

    /** Leads one instance to each engine over a link of its own. */
    private List<Link> links(String instance) throws Exception {
        List<Link> links = new ArrayList<>();
        Map<String, String> addresses = new ConcurrentHashMap<>();
        for (Engine engine : mSite.engines) {
            Link link = new Link(engine.port());
            links.add(link);
            addresses.put("127.0.0.1:" + engine.port() + "\"", "127.0.0.1:" + link.port() + "\"");
        }
        mSite.store.view(
                instance,
                value -> {
                    String seen = value;
                    for (Map.Entry<String, String> address : addresses.entrySet()) {
                        if (seen.contains(address.getKey())) {
                            return seen.replace(address.getKey(), address.getValue());
                        }
                    }
                    return seen;
                });
        return links;
    }

    private Void send(ExecutorService consumers) throws Exception {
        for (int number = 0; !mStopped; number++) {
            boolean streams = number % 2 == 0;
            for (Gateway gateway : mSite.gateways) {
                consumers.submit(() -> ask(gateway, streams));
            }
            Thread.sleep(1_000 / PER_SECOND);
        }
        return null;
    }

    private void ask(Gateway gateway, boolean streams) {
        String id = mSite.nextId();
        long sent = mSite.journal.millis();
        boolean judged = sent >= mJudgedFrom && sent <= mJudgedUntil;
        String head = streams ? Site.draft(id) : Site.lookup(id);
        int status =
                mSite.send(
                        gateway,
                        head,
                        id,
                        new byte[streams ? 1_400 : 0],
                        streams ? 7_000 : TIMEOUT_MILLIS);
        if (judged) {
            mTries.computeIfAbsent(gateway.name(), name -> new AtomicInteger()).incrementAndGet();
            if (status == 200) {
                mServed.computeIfAbsent(gateway.name(), name -> new AtomicInteger())
                        .incrementAndGet();
            }
        }
    }
}
