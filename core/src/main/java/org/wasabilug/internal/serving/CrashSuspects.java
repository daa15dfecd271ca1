package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Traces crashes of endpoints to the contents and prompt parts of requests that cause them.
 *
 * <p>A cause crashes each endpoint that begins an answer on it, so a single answer that goes on
 * clears all features of its request. Crashes also interrupt unrelated requests; a feature counts
 * as a cause only after several crashes in a row that nothing else explains.
 */
public final class CrashSuspects {
    private static final int MIN_CRASHES = 3;

    /** So many crashes in a row condemn a part also amid many crashes of other causes. */
    private static final int CERTAIN_CRASHES = 5;

    private static final int MIN_CONTENTS = 2;

    /** Many endpoints that fall together are one event. */
    private static final long MIN_SPAN_MILLIS = 1_000;

    private static final int MIN_SHARE_DIVISOR = 3;
    private static final long TRIAL_MILLIS = 5_000;
    private static final long RESTED_TRIAL_MILLIS = 60_000;
    private static final long ANSWER_MILLIS = 3_600_000;
    private static final int MAX_ANSWERED = 4_000;
    private static final int MAX_PARTS = 32;

    private final CrashLog mLog = new CrashLog();
    private final CrashAcquittals mAcquittals = new CrashAcquittals();
    private final CrashStreaks mStreaks = new CrashStreaks();
    private final Map<CrashFeature, Long> mAnsweredMillis =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<CrashFeature, Long> eldest) {
                    return size() > MAX_ANSWERED;
                }
            };

    /**
     * Records a crash seen by this instance or a peer.
     *
     * @param observation the crash and one request
     * @param nowMillis current monotonic time, in milliseconds
     * @return whether the observation was not known; another of the same endpoint and content
     *     within 1 s counts as the same
     */
    public boolean recordCrash(CrashObservation observation, long nowMillis) {
        EndpointCrash crash = mLog.findOrAdd(observation);
        if (!crash.add(observation)) {
            return false;
        }
        mLog.removeSurplus();
        CrashFeature.all(observation.content(), boundedParts(observation.parts()))
                .forEach(feature -> addCrash(feature, crash, observation, nowMillis));
        return true;
    }

    /**
     * Records that an answer went on past its beginning. Worth a call also while nothing is
     * suspected: a part that is known to have been answered is not condemned for one fall of many
     * endpoints. The content is not used then.
     *
     * @param request features of the answered request
     * @param nowMillis current monotonic time, in milliseconds
     * @return the features of which peers should hear: those suspected until now, and for a minute
     *     again now and then, as a message may have been lost
     */
    public Set<Long> recordAnswer(RequestFeatures request, long nowMillis) {
        Set<Long> cleared = new HashSet<>();
        if (clear(CrashFeature.content(request.content()), nowMillis)) {
            cleared.add(request.content());
        }
        for (long part : request.parts()) {
            CrashFeature feature = CrashFeature.part(part);
            rememberAnswer(feature, nowMillis);
            if (clear(feature, nowMillis)) {
                mAcquittals.add(feature, nowMillis);
                cleared.add(part);
            } else if (mAcquittals.repeat(feature, nowMillis)) {
                cleared.add(part);
            }
        }
        return cleared;
    }

    /**
     * Clears features with which an answer went on at a peer.
     *
     * @param features what {@link #recordAnswer} returned there
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void acquit(Set<Long> features, long nowMillis) {
        for (long fingerprint : features) {
            for (CrashFeature.Kind kind : CrashFeature.Kind.values()) {
                CrashFeature feature = new CrashFeature(kind, fingerprint);
                rememberAnswer(feature, nowMillis);
                clear(feature, nowMillis);
            }
        }
    }

    /** Returns whether nothing is suspected, in which case requests need no check. */
    public boolean isEmpty() {
        return mStreaks.size() == 0;
    }

    /** Returns how many features are suspected. */
    int features() {
        return mStreaks.size();
    }

    /** Returns the features that count as causes of crashes, whether or not they are refused. */
    public Set<Long> condemned() {
        return mStreaks.condemned();
    }

    /**
     * Decides whether a request may be sent to an endpoint now.
     *
     * @param request features of the request
     * @param mayTry whether this instance is the one that may try a long refused feature again
     * @param nowMillis current monotonic time, in milliseconds
     */
    public CrashVerdict judge(RequestFeatures request, boolean mayTry, long nowMillis) {
        if (isEmpty()) {
            return CrashVerdict.ALLOWED;
        }
        Set<CrashFeature> features = CrashFeature.all(request.content(), request.parts());
        Set<CrashFeature> condemned = new HashSet<>();
        for (CrashFeature feature : features) {
            CrashStreak streak = mStreaks.find(feature);
            if (streak != null && isHeldAgainst(feature, streak, request.workspace())) {
                condemned.add(feature);
            }
        }
        if (condemned.isEmpty()) {
            return CrashVerdict.ALLOWED;
        }
        return tryAll(condemned, features, mayTry, nowMillis);
    }

    /** Returns the observations that a newly connected peer needs. */
    public List<CrashObservation> observations() {
        List<CrashObservation> observations = new ArrayList<>();
        for (EndpointCrash crash : mLog.crashes()) {
            for (CrashObservation observation : crash.observations()) {
                addIfSuspected(crash, observation, observations);
            }
        }
        return observations;
    }

    /**
     * Forgets what no longer matters.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void removeExpired(long nowMillis) {
        mStreaks.removeExpired(nowMillis);
        mAcquittals.removeExpired(nowMillis);
        mAnsweredMillis.values().removeIf(answered -> nowMillis - answered > ANSWER_MILLIS);
        Set<EndpointCrash> needed = new HashSet<>();
        mStreaks.all().forEach(streak -> needed.addAll(streak.crashes()));
        mLog.removeExpired(needed, nowMillis);
    }

    /** Returns the parts to record; those suspected before go first. */
    private Set<Long> boundedParts(Set<Long> parts) {
        if (parts.size() <= MAX_PARTS) {
            return parts;
        }
        return parts.stream()
                .sorted()
                .sorted(
                        Comparator.comparing(
                                part -> mStreaks.find(CrashFeature.part(part)) == null))
                .limit(MAX_PARTS)
                .collect(Collectors.toSet());
    }

    private void addCrash(
            CrashFeature feature,
            EndpointCrash crash,
            CrashObservation observation,
            long nowMillis) {
        if (mAnsweredMillis.getOrDefault(feature, Long.MIN_VALUE) >= crash.crashedMillis()) {
            return;
        }
        CrashStreak streak = mStreaks.forRecording(feature, mAnsweredMillis.containsKey(feature));
        streak.add(crash, observation, nowMillis);
        if (isCause(feature, streak)) {
            streak.condemn();
        }
    }

    /** Remembers an answer, as crashes before it may be reported late. */
    private void rememberAnswer(CrashFeature feature, long answeredMillis) {
        mAnsweredMillis.remove(feature);
        mAnsweredMillis.put(feature, answeredMillis);
    }

    private boolean clear(CrashFeature feature, long answeredMillis) {
        CrashStreak streak = mStreaks.find(feature);
        if (streak == null) {
            return false;
        }
        rememberAnswer(feature, answeredMillis);
        if (!streak.clear(answeredMillis)) {
            mStreaks.remove(feature);
        } else if (isCause(feature, streak)) {
            streak.condemn();
        }
        return true;
    }

    private boolean isCause(CrashFeature feature, CrashStreak streak) {
        int crashes = streak.crashes().size();
        if (crashes < MIN_CRASHES) {
            return false;
        }
        if (feature.isContent()) {
            return true;
        }
        if (streak.contents() < MIN_CONTENTS) {
            return false;
        }
        boolean isCertain = crashes >= CERTAIN_CRASHES;
        boolean isOneEvent = streak.lastCrashMillis() - streak.firstCrashMillis() < MIN_SPAN_MILLIS;
        if (mAnsweredMillis.containsKey(feature)) {
            return isCertain && !isOneEvent;
        }
        boolean isFrequent = crashes * MIN_SHARE_DIVISOR >= mLog.countDuring(streak);
        return isOneEvent ? isCertain && isFrequent : isCertain || isFrequent;
    }

    private boolean isHeldAgainst(CrashFeature feature, CrashStreak streak, long workspace) {
        return streak.isCondemned()
                && (feature.isContent()
                        || streak.concerns(workspace)
                                && !mStreaks.isAccountedFor(streak, MIN_CRASHES));
    }

    private CrashVerdict tryAll(
            Set<CrashFeature> condemned,
            Set<CrashFeature> features,
            boolean mayTry,
            long nowMillis) {
        for (CrashFeature feature : condemned) {
            CrashStreak streak = mStreaks.find(feature);
            boolean isTriable =
                    mayTry && streak.isRested(nowMillis)
                            || !feature.isContent() && mStreaks.hasAbsentTwin(streak, features);
            if (streak.isOnTrial(nowMillis) || !isTriable) {
                return CrashVerdict.REFUSED;
            }
        }
        for (CrashFeature feature : condemned) {
            CrashStreak streak = mStreaks.find(feature);
            long trialMillis =
                    mayTry && streak.isRested(nowMillis) ? RESTED_TRIAL_MILLIS : TRIAL_MILLIS;
            streak.startTrial(nowMillis + trialMillis);
        }
        return CrashVerdict.TRIAL;
    }

    private void addIfSuspected(
            EndpointCrash crash, CrashObservation observation, List<CrashObservation> suspected) {
        Set<Long> parts = new HashSet<>(observation.parts());
        parts.removeIf(part -> !isSuspected(CrashFeature.part(part), crash));
        boolean isContentSuspected =
                isSuspected(CrashFeature.content(observation.content()), crash);
        if (isContentSuspected || !parts.isEmpty()) {
            suspected.add(observation.withParts(parts));
        }
    }

    private boolean isSuspected(CrashFeature feature, EndpointCrash crash) {
        CrashStreak streak = mStreaks.find(feature);
        return streak != null && streak.crashes().contains(crash);
    }
}
