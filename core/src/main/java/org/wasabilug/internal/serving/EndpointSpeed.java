package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Load and speed of one endpoint incarnation, from what it states and from observed response times.
 *
 * <p>The momentary factor comes from the latest statement, whichever instance received it. It fades
 * to the mean of the statements of the last minutes. The lasting factor comes from observed times
 * divided by predicted ones. Each observation is divided by the momentary factor that was known
 * when the request was sent, so that the product of both factors counts nothing twice.
 */
public final class EndpointSpeed {
    /** A statement fades over this time, so that on average it counts for about a second. */
    private static final double STATEMENT_MILLIS = 1_500;

    /** Longest time for which one statement counts in the mean of the statements. */
    private static final long MAX_STATEMENT_GAP_MILLIS = 10_000;

    /** Time for which a change is repeated in heartbeats, as some never arrive. */
    private static final long REPORT_MILLIS = 5_000;

    /**
     * Time after the registration for which reports of peers are ignored, as they may be about the
     * process that had the name before: the time for which changes are repeated, and the greatest
     * age of a heartbeat in a large fleet.
     */
    private static final long IGNORE_PEERS_MILLIS = REPORT_MILLIS + 2_000;

    private static final double MIN_FACTOR = 0.1;
    private static final double MAX_FACTOR = 10;

    /**
     * Weight, in responses, of the assumption that an endpoint is as fast as the others of its
     * service, so that a few slow responses move the choice only a little.
     */
    private static final double PRIOR_SAMPLES = 10;

    /** Bounds what one peer's report can weigh against those of all others. */
    private static final double MAX_PEER_SAMPLES = 500;

    private static final double MIN_SAMPLES = 0.01;

    private final long mPeersFromMillis;
    private final DecayingMean mOwnLogs = new DecayingMean();
    private final DecayingMean mLogs = new DecayingMean();
    private final Map<String, DecayingMean.Part> mPeerLogs = new HashMap<>();
    private Statement mLatest;
    private Statement mOwnLatest;
    private int mUnseenRequests;
    private double mTypical = 1;
    private long mTypicalMillis;
    private long mChangedMillis = Long.MIN_VALUE / 2;

    /** What the endpoint stated at a time. */
    private record Statement(ServerLoad load, long atMillis) {}

    /**
     * What one instance has learned of an endpoint.
     *
     * @param load latest load that states a speed; empty if there is none
     * @param statedMillis monotonic time of the statement, in milliseconds
     * @param slowness mean of observed time divided by the predicted one; 0 if not observed
     * @param samples decaying number of responses behind the slowness
     */
    public record Observation(
            Optional<ServerLoad> load, long statedMillis, double slowness, double samples) {}

    /**
     * Creates the state of a newly registered endpoint.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    EndpointSpeed(long nowMillis) {
        mPeersFromMillis = nowMillis + IGNORE_PEERS_MILLIS;
        mTypicalMillis = nowMillis;
    }

    /**
     * Records a statement that this instance received.
     *
     * @param load the stated load, with a speed
     * @param knownRequests number of requests known to be at the endpoint
     * @param nowMillis current monotonic time, in milliseconds
     */
    void recordStated(ServerLoad load, int knownRequests, long nowMillis) {
        mOwnLatest = new Statement(load, nowMillis);
        mChangedMillis = nowMillis;
        apply(mOwnLatest, knownRequests);
    }

    private void apply(Statement statement, int knownRequests) {
        long at = statement.atMillis();
        if (mLatest != null && at < mLatest.atMillis()) {
            return;
        }
        long gap =
                mLatest == null
                        ? MAX_STATEMENT_GAP_MILLIS
                        : Math.min(MAX_STATEMENT_GAP_MILLIS, at - mLatest.atMillis());
        double typical = typical(at);
        mTypical = typical + (1 - DecayingMean.decay(gap)) * (factor(statement) - typical);
        mTypicalMillis = at;
        mLatest = statement;
        ServerLoad load = statement.load();
        mUnseenRequests = Math.max(0, load.running() + load.waiting() - knownRequests);
    }

    /**
     * Records the ratio of an observed time to the predicted one.
     *
     * @param ratio the ratio, divided by the momentary factor known when the request was sent
     * @param nowMillis current monotonic time, in milliseconds
     */
    void recordRatio(double ratio, long nowMillis) {
        DecayingMean.Part sample = new DecayingMean.Part(boundedLog(ratio), 1, nowMillis);
        mOwnLogs.add(sample);
        mLogs.add(sample);
        mChangedMillis = nowMillis;
    }

    /**
     * Applies what a peer has learned. It replaces what the same peer reported before.
     *
     * @param peer name of the peer
     * @param observation the peer's observation; figures that can't be right are ignored
     * @param knownRequests number of requests known to be at the endpoint
     * @param writtenMillis monotonic time of the report, in milliseconds
     * @return whether the report counts
     */
    boolean recordReport(
            String peer, Observation observation, int knownRequests, long writtenMillis) {
        if (writtenMillis < mPeersFromMillis) {
            return false;
        }
        observation
                .load()
                .filter(ServerLoad::statesSpeed)
                .filter(load -> observation.statedMillis() <= writtenMillis)
                .ifPresent(
                        load ->
                                apply(
                                        new Statement(load, observation.statedMillis()),
                                        knownRequests));
        boolean usable =
                Double.isFinite(observation.slowness())
                        && observation.slowness() > 0
                        && observation.samples() > 0;
        if (usable) {
            replace(
                    peer,
                    new DecayingMean.Part(
                            boundedLog(observation.slowness()),
                            Math.min(MAX_PEER_SAMPLES, observation.samples()),
                            writtenMillis));
        }
        return true;
    }

    private void replace(String peer, DecayingMean.Part part) {
        DecayingMean.Part old = mPeerLogs.put(peer, part);
        if (old != null) {
            mLogs.remove(old, part.atMillis());
        } else {
            mPeerLogs.values().removeIf(each -> left(each, part.atMillis()) < MIN_SAMPLES);
        }
        mLogs.add(part);
    }

    private static double left(DecayingMean.Part part, long nowMillis) {
        return part.weight() * DecayingMean.decay(nowMillis - part.atMillis());
    }

    /**
     * Returns what this instance has itself learned, if that changed lately.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public Optional<Observation> recentObservation(long nowMillis) {
        if (nowMillis - mChangedMillis > REPORT_MILLIS) {
            return Optional.empty();
        }
        double samples = mOwnLogs.weight(nowMillis);
        return Optional.of(
                new Observation(
                        Optional.ofNullable(mOwnLatest).map(Statement::load),
                        mOwnLatest == null ? nowMillis : mOwnLatest.atMillis(),
                        samples < MIN_SAMPLES ? 0 : Math.exp(mOwnLogs.mean()),
                        samples < MIN_SAMPLES ? 0 : samples));
    }

    /** Returns the time of the latest change by this instance, in milliseconds. */
    public long changedMillis() {
        return mChangedMillis;
    }

    /**
     * Returns by which factor work takes longer at present than usual on this machine, as far as
     * the endpoint states it.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    double momentary(long nowMillis) {
        double typical = typical(nowMillis);
        return mLatest == null
                ? typical
                : typical + freshness(nowMillis) * (factor(mLatest) - typical);
    }

    /** Returns the mean of the stated factors of the last minutes. */
    double typical(long nowMillis) {
        return 1 + DecayingMean.decay(nowMillis - mTypicalMillis) * (mTypical - 1);
    }

    /** Returns the number of requests that the endpoint stated beyond those known then. */
    int unseenRequests(long nowMillis) {
        return mLatest == null ? 0 : (int) Math.round(mUnseenRequests * freshness(nowMillis));
    }

    /** Returns the number of requests that the endpoint stated to this instance since a time. */
    int requestsStatedSince(long sinceMillis) {
        return mOwnLatest == null || mOwnLatest.atMillis() < sinceMillis
                ? 0
                : mOwnLatest.load().running() + mOwnLatest.load().waiting();
    }

    private double freshness(long nowMillis) {
        return Math.clamp(1 - (nowMillis - mLatest.atMillis()) / STATEMENT_MILLIS, 0, 1);
    }

    /**
     * Returns by which factor work takes longer here than at the other endpoints of the service,
     * apart from what the endpoint states.
     *
     * @param usualLog mean logarithm of the ratio at the endpoints of the service
     * @param nowMillis current monotonic time, in milliseconds
     */
    double lasting(double usualLog, long nowMillis) {
        double confidence = confidence(nowMillis);
        return confidence == 0 ? 1 : Math.exp(confidence * (mLogs.mean() - usualLog));
    }

    /** Returns the share of the observed ratio in the estimate, from 0 to 1. */
    double confidence(long nowMillis) {
        double samples = mLogs.weight(nowMillis);
        return samples / (samples + PRIOR_SAMPLES);
    }

    /** Returns the mean logarithm of the ratio that all instances observed; 0 without any. */
    double meanLog() {
        return mLogs.mean();
    }

    private static double factor(Statement statement) {
        return Math.clamp(statement.load().percent() / 100.0, MIN_FACTOR, MAX_FACTOR);
    }

    private static double boundedLog(double ratio) {
        return Math.log(Math.clamp(ratio, MIN_FACTOR, MAX_FACTOR));
    }
}
