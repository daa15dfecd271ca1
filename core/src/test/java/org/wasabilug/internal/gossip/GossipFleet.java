package org.wasabilug.internal.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/** A fleet that spreads states in virtual time. */
final class GossipFleet {
    private static final int DOMAINS = 5;
    private static final long DELAY_MILLIS = 3;

    private final Map<String, Instance> mInstances = new TreeMap<>();
    private final TreeMap<Long, List<Runnable>> mSteps = new TreeMap<>();
    private final Set<String> mStopped = new HashSet<>();
    private BiPredicate<String, String> mCut = (from, to) -> false;
    private final int mSize;
    private long mNow;
    private long mMessages;
    private long mStates;

    /** One instance; hears of others only through its neighbors. */
    private final class Instance {
        private final String mName;
        private final GossipTable<Long> mTable = new GossipTable<>();
        private final NeighborRings mRings;
        private final LostPeerProbes mProbes;
        private final Map<String, Long> mWritten = new HashMap<>();
        private long mVersion;

        Instance(String name, Random random) {
            mName = name;
            mRings = new NeighborRings(name, domain(name));
            mProbes = new LostPeerProbes(new Random(name.hashCode()));
            at(1 + random.nextLong(GossipTiming.refreshMillis(mSize)), this::refresh);
            at(1 + random.nextLong(GossipTiming.ROUND_MILLIS), this::exchange);
        }

        private void refresh() {
            if (!mStopped.contains(mName)) {
                mTable.write(new GossipState<>(mName, ++mVersion, 0, mNow), mNow);
                mWritten.put(mName, mNow);
                at(mNow + GossipTiming.refreshMillis(mSize), this::refresh);
            }
        }

        private void exchange() {
            if (!mStopped.contains(mName)) {
                Set<String> live = live();
                Set<String> neighbors = mRings.neighbors(name -> true);
                neighbors.addAll(mRings.neighbors(live::contains));
                mProbes.next(mInstances.keySet(), live, mNow).ifPresent(neighbors::add);
                neighbors.forEach(this::send);
                at(mNow + GossipTiming.ROUND_MILLIS, this::exchange);
            }
        }

        private void send(String neighbor) {
            if (mCut.test(mName, neighbor) || mStopped.contains(neighbor)) {
                mTable.reset(neighbor);
                return;
            }
            List<GossipState<Long>> news = mTable.takeNews(neighbor, maxAge(), mNow);
            mMessages++;
            mStates += news.size();
            at(mNow + DELAY_MILLIS, () -> mInstances.get(neighbor).received(mName, news));
        }

        private void received(String from, List<GossipState<Long>> states) {
            for (GossipState<Long> state : states) {
                if (mTable.receive(from, state, maxAge(), mNow)) {
                    mWritten.put(state.instance(), mNow - state.ageMillis());
                }
            }
        }

        private Set<String> live() {
            Set<String> live = new HashSet<>();
            mWritten.forEach(
                    (name, written) -> {
                        if (mNow - written < maxAge()) {
                            live.add(name);
                        }
                    });
            return live;
        }
    }

    GossipFleet(int size, long seed) {
        mSize = size;
        Random random = new Random(seed);
        for (int index = 0; index < size; index++) {
            String name = "instance-" + seed + "-" + index;
            mInstances.put(name, new Instance(name, random));
        }
        for (Instance instance : mInstances.values()) {
            mInstances.keySet().forEach(name -> instance.mRings.place(name, domain(name)));
        }
    }

    private void at(long time, Runnable step) {
        mSteps.computeIfAbsent(time, each -> new ArrayList<>()).add(step);
    }

    private long maxAge() {
        return GossipTiming.maxAgeMillis(mSize);
    }

    void runMillis(long millis) {
        long end = mNow + millis;
        while (mSteps.firstKey() <= end) {
            mNow = mSteps.firstKey();
            mSteps.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        mNow = end;
    }

    /** Stops every so-and-so-many-th instance for good. */
    void stopEvery(int step) {
        int index = 0;
        for (String name : mInstances.keySet()) {
            if (index++ % step == 0) {
                mStopped.add(name);
            }
        }
    }

    /** Drops all messages between instances for which the predicate holds; nobody is told. */
    void cut(BiPredicate<String, String> cut) {
        mCut = cut;
    }

    static String domain(String name) {
        int index = Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
        return "domain-" + index % DOMAINS;
    }

    Collection<String> running() {
        List<String> running = new ArrayList<>(mInstances.keySet());
        running.removeAll(mStopped);
        return running;
    }

    /** Returns the instances that an instance takes for alive. */
    Set<String> liveAt(String name) {
        return mInstances.get(name).live();
    }

    /** Returns the age of the oldest state that a running instance has of another running one. */
    long oldestStateMillis() {
        long oldest = 0;
        for (String at : running()) {
            for (String of : running()) {
                Long written = mInstances.get(at).mWritten.get(of);
                oldest = Math.max(oldest, written == null ? Long.MAX_VALUE : mNow - written);
            }
        }
        return oldest;
    }

    double meanStateMillis() {
        double sum = 0;
        for (String at : running()) {
            for (String of : running()) {
                sum += mNow - mInstances.get(at).mWritten.get(of);
            }
        }
        return sum / running().size() / running().size();
    }

    double messagesPerInstanceSecond() {
        return mMessages * 1_000.0 / mNow / mSize;
    }

    double statesPerInstanceSecond() {
        return mStates * 1_000.0 / mNow / mSize;
    }
}
