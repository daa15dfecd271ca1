package org.wasabilug.internal.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Newest known state of each instance, and which neighbor has which.
 *
 * <p>A state passes once over each link between neighbors, and no longer when it is too old to show
 * that its instance is alive, so that an instance that has left is forgotten everywhere.
 *
 * @param <T> type of the content of a state
 */
public final class GossipTable<T> {
    /** States in the order in which they became known, the newest last. */
    private final LinkedHashMap<String, Known<T>> mStates = new LinkedHashMap<>();

    private final Map<String, Neighbor> mNeighbors = new HashMap<>();
    private long mArrivals;

    private record Known<T>(GossipState<T> state, long writtenMillis, long arrival) {}

    /** What a neighbor has: all up to an arrival here, and the versions that it passed on. */
    private static final class Neighbor {
        private final Map<String, Long> mVersions = new HashMap<>();
        private long mSentUpTo;
    }

    /**
     * Sets the state of the local instance.
     *
     * @param state the state
     * @param nowMillis current time
     */
    public void write(GossipState<T> state, long nowMillis) {
        mArrivals++;
        mStates.putLast(
                state.instance(), new Known<>(state, nowMillis - state.ageMillis(), mArrivals));
    }

    /**
     * Takes in a state that a neighbor passed on.
     *
     * @param neighbor name of the neighbor
     * @param state the state
     * @param maxAgeMillis age from which a known state gives way to any other
     * @param nowMillis current time
     * @return true if the state is news
     */
    public boolean receive(
            String neighbor, GossipState<T> state, long maxAgeMillis, long nowMillis) {
        neighbor(neighbor).mVersions.put(state.instance(), state.version());
        if (state.ageMillis() < maxAgeMillis && isNews(state, maxAgeMillis, nowMillis)) {
            write(state, nowMillis);
            return true;
        }
        return false;
    }

    private boolean isNews(GossipState<T> state, long maxAgeMillis, long nowMillis) {
        Known<T> known = mStates.get(state.instance());
        if (known == null || state.version() > known.state().version()) {
            return true;
        }
        // The versions of an instance go back if its clock did while it restarted.
        boolean old = nowMillis - known.writtenMillis() >= maxAgeMillis;
        return old && state.version() != known.state().version();
    }

    /**
     * Returns the states that a neighbor does not have yet, and records that it gets them.
     *
     * @param neighbor name of the neighbor
     * @param maxAgeMillis age from which a state is not passed on
     * @param nowMillis current time
     */
    public List<GossipState<T>> takeNews(String neighbor, long maxAgeMillis, long nowMillis) {
        Neighbor has = neighbor(neighbor);
        List<GossipState<T>> news = new ArrayList<>();
        for (Known<T> known : mStates.sequencedValues().reversed()) {
            if (known.arrival() <= has.mSentUpTo) {
                break;
            }
            GossipState<T> state = known.state();
            long age = nowMillis - known.writtenMillis();
            boolean passedOn = Objects.equals(has.mVersions.get(state.instance()), state.version());
            if (!passedOn && age < maxAgeMillis && !state.instance().equals(neighbor)) {
                news.add(state.withAge(age));
            }
        }
        has.mSentUpTo = mArrivals;
        return news;
    }

    /**
     * Forgets what a neighbor has, as what was sent last may not have arrived.
     *
     * @param neighbor name of the neighbor
     */
    public void reset(String neighbor) {
        mNeighbors.remove(neighbor);
    }

    private Neighbor neighbor(String name) {
        return mNeighbors.computeIfAbsent(name, each -> new Neighbor());
    }
}
