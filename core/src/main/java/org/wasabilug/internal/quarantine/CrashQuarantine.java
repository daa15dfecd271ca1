package org.wasabilug.internal.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.Decision;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.port.CrashEvidence;
import org.wasabilug.port.LoadReport;

/**
 * Quarantine of contents that crash endpoints.
 *
 * <p>A lost connection counts as a possible crash until a later report shows the endpoint with an
 * unchanged generation. All contents that ran there are suspects; {@link CrashAnalyzer} identifies
 * the culprit.
 */
public final class CrashQuarantine implements CrashTracker {
    /** Number of publications of a crash observed by this instance. */
    private static final int LOCAL_PUBLICATIONS = 5;

    /** Number of publications of a crash received from a peer. */
    private static final int PEER_PUBLICATIONS = 2;

    /** Number of evidence items after which no further crash is added to a publication. */
    private static final int MAXIMUM_PUBLISHED = 64;

    /**
     * Time after a crash from which its suspects may run at any endpoint, since their assigned ones
     * may be unavailable.
     */
    private static final long ASSIGNMENT_NANOS = 30_000_000_000L;

    /** Maximum network delay of a report, which its stated age does not include. */
    private static final long TRANSIT_NANOS = 500_000_000L;

    private final QuarantineSettings mSettings;
    private final CrashAnalyzer mAnalyzer;
    private final Map<AttemptId, Running> mRunning = new HashMap<>();
    private final Map<EndpointName, ObservedGeneration> mGenerations = new HashMap<>();
    private final Map<EndpointName, Long> mRestarts = new HashMap<>();
    private final List<Crash> mCrashes = new ArrayList<>();
    private Optional<CrashAnalyzer.Classification> mClassification = Optional.empty();
    private final Map<EndpointName, FailureDomainName> mDomains = new HashMap<>();
    private long mNextChangeNanos = Long.MIN_VALUE;
    private Configuration mConfiguration = Configuration.empty();

    private record Running(long fingerprint, EndpointName endpoint, long dispatchedNanos) {}

    private record ObservedGeneration(long generation, long sampleNanos) {}

    /**
     * Creates a quarantine without evidence.
     *
     * @param settings time windows and limits
     */
    public CrashQuarantine(QuarantineSettings settings) {
        mSettings = settings;
        mAnalyzer = new CrashAnalyzer(settings, name -> Optional.ofNullable(mDomains.get(name)));
    }

    @Override
    public Suspicion classify(long fingerprint, long nowNanos) {
        if (mCrashes.isEmpty()) {
            return Suspicion.CLEAN;
        }
        CrashAnalyzer.Classification classification = classification(nowNanos);
        if (classification.quarantined().contains(fingerprint)) {
            return Suspicion.QUARANTINED;
        }
        return classification.suspects().contains(fingerprint)
                ? Suspicion.SUSPECT
                : Suspicion.CLEAN;
    }

    private CrashAnalyzer.Classification classification(long nowNanos) {
        if (mClassification.isEmpty() || nowNanos >= mNextChangeNanos) {
            removeExpired(nowNanos);
            confirmOld(nowNanos);
            mNextChangeNanos =
                    mCrashes.stream().mapToLong(this::nextChangeOf).min().orElse(Long.MAX_VALUE);
            mClassification = Optional.of(mAnalyzer.analyze(mCrashes, mRestarts));
        }
        return mClassification.get();
    }

    private long nextChangeOf(Crash crash) {
        long lasts =
                (crash.mConfirmed ? mSettings.expiry() : mSettings.confirmationDelay()).toNanos();
        return crash.mTimeNanos + lasts + 1;
    }

    private void confirmOld(long nowNanos) {
        long oldest = nowNanos - mSettings.confirmationDelay().toNanos();
        mCrashes.stream()
                .filter(crash -> crash.mTimeNanos < oldest)
                .forEach(crash -> crash.mConfirmed = true);
    }

    private void removeExpired(long nowNanos) {
        long oldest = nowNanos - mSettings.expiry().toNanos();
        mCrashes.removeIf(crash -> crash.mTimeNanos < oldest);
    }

    /**
     * {@inheritDoc}
     *
     * <p>The suspects of a crash are distributed over the other endpoints of the pool by rank, the
     * same way at every instance, so that the next crash distinguishes them. A content waits while
     * it is not known whether a lost connection was its second crash.
     */
    @Override
    public boolean mayRunAt(long fingerprint, EndpointName endpoint, long nowNanos) {
        Suspicion suspicion = classify(fingerprint, nowNanos);
        if (suspicion == Suspicion.CLEAN) {
            return true;
        }
        if (suspicion == Suspicion.QUARANTINED
                || classification(nowNanos).waiting().contains(fingerprint)) {
            return false;
        }
        boolean noSuspectRunning =
                mRunning.values().stream()
                        .filter(running -> running.endpoint().equals(endpoint))
                        .noneMatch(running -> isSuspect(running.fingerprint(), nowNanos));
        return noSuspectRunning
                && mCrashes.stream()
                        .filter(crash -> crash.mFingerprints.contains(fingerprint))
                        .allMatch(crash -> isAssigned(fingerprint, crash, endpoint, nowNanos));
    }

    private boolean isSuspect(long fingerprint, long nowNanos) {
        return classify(fingerprint, nowNanos) != Suspicion.CLEAN;
    }

    private boolean isAssigned(
            long fingerprint, Crash crash, EndpointName endpoint, long nowNanos) {
        List<EndpointName> others = othersInPoolOf(crash.mEndpoint);
        long ageNanos = nowNanos - crash.mTimeNanos;
        if (others.isEmpty() || ageNanos > ASSIGNMENT_NANOS) {
            return true;
        }
        int rank = crash.rankOf(fingerprint);
        long startNanos = rank / others.size() * mSettings.suspectInterval().toNanos();
        return ageNanos >= startNanos && others.get(rank % others.size()).equals(endpoint);
    }

    private List<EndpointName> othersInPoolOf(EndpointName endpoint) {
        return mConfiguration.endpoint(endpoint).stream()
                .flatMap(each -> mConfiguration.endpointsOf(each.pool()).stream())
                .filter(each -> !each.leaving())
                .map(Endpoint::name)
                .filter(name -> !name.equals(endpoint))
                .toList();
    }

    @Override
    public void dispatched(
            AttemptId attempt, long fingerprint, EndpointName endpoint, long nowNanos) {
        mRunning.put(attempt, new Running(fingerprint, endpoint, nowNanos));
    }

    /** Exonerates a content, since one that completes does not crash endpoints. */
    @Override
    public void completed(AttemptId attempt, long nowNanos) {
        Running running = mRunning.get(attempt);
        if (running == null || classify(running.fingerprint(), nowNanos) == Suspicion.CLEAN) {
            return;
        }
        mCrashes.forEach(crash -> crash.exonerate(running.fingerprint()));
        mClassification = Optional.empty();
    }

    @Override
    public List<InstanceAction> ended(AttemptId attempt, boolean crashed, long nowNanos) {
        Running ended = mRunning.remove(attempt);
        if (ended == null || !crashed) {
            return List.of();
        }
        long generation =
                Optional.ofNullable(mGenerations.get(ended.endpoint()))
                        .map(ObservedGeneration::generation)
                        .orElse(0L);
        Optional<Crash> known = crashOf(ended.endpoint(), generation, nowNanos);
        Crash crash =
                known.filter(each -> ended.dispatchedNanos() <= each.mTimeNanos)
                        .orElseGet(
                                () ->
                                        add(
                                                ended.endpoint(),
                                                generation,
                                                nowNanos,
                                                LOCAL_PUBLICATIONS));
        crash.addContent(ended.fingerprint());
        crash.mPublicationsLeft = LOCAL_PUBLICATIONS;
        mRunning.values().stream()
                .filter(running -> running.endpoint().equals(ended.endpoint()))
                .filter(running -> running.dispatchedNanos() <= crash.mTimeNanos)
                .forEach(running -> crash.addContent(running.fingerprint()));
        mClassification = Optional.empty();
        return List.of(new InstanceAction.LogDecision(decision(attempt, ended)));
    }

    private Decision decision(AttemptId attempt, Running ended) {
        return new Decision(
                "quarantine",
                attempt.request().value(),
                "",
                attempt.stage().value(),
                0,
                ended.endpoint().value(),
                "connection lost while the content was running",
                -1);
    }

    private Optional<Crash> crashOf(EndpointName endpoint, long generation, long timeNanos) {
        long window = mSettings.sameCrashWindow().toNanos();
        return mCrashes.stream()
                .filter(crash -> crash.isOf(endpoint, generation))
                .filter(crash -> Math.abs(crash.mTimeNanos - timeNanos) <= window)
                .max(Comparator.comparingLong(crash -> crash.mTimeNanos));
    }

    private Crash add(EndpointName endpoint, long generation, long timeNanos, int publications) {
        if (mCrashes.size() >= mSettings.maximumCrashes()) {
            mCrashes.remove(
                    mCrashes.stream()
                            .min(Comparator.comparingLong(crash -> crash.mTimeNanos))
                            .orElseThrow());
        }
        Crash crash = new Crash(endpoint, generation, timeNanos, publications);
        mCrashes.add(crash);
        return crash;
    }

    /**
     * Records a load report, which may confirm or refute that a lost connection was a crash.
     *
     * @param endpoint endpoint that sent it
     * @param report the report
     * @param nowNanos current monotonic time, in nanoseconds
     */
    public void recordLoadReport(EndpointName endpoint, LoadReport report, long nowNanos) {
        long sampleNanos = nowNanos - report.ageMilliseconds() * 1_000_000;
        ObservedGeneration known = mGenerations.get(endpoint);
        if (known != null && sampleNanos < known.sampleNanos()) {
            return;
        }
        if (known != null && known.generation() != report.generation()) {
            restarted(endpoint, report.generation(), nowNanos);
        }
        mGenerations.put(endpoint, new ObservedGeneration(report.generation(), sampleNanos));
        boolean refuted =
                mCrashes.removeIf(
                        crash ->
                                crash.isOf(endpoint, report.generation())
                                        && sampleNanos - TRANSIT_NANOS > crash.mTimeNanos);
        if (refuted) {
            mClassification = Optional.empty();
        }
    }

    private void restarted(EndpointName endpoint, long generation, long nowNanos) {
        mRestarts.put(endpoint, nowNanos);
        mCrashes.stream()
                .filter(crash -> crash.mEndpoint.equals(endpoint))
                .filter(crash -> crash.mGeneration != generation)
                .forEach(crash -> crash.mConfirmed = true);
        mClassification = Optional.empty();
    }

    /**
     * Applies evidence received from a peer.
     *
     * @param crashes the evidence
     * @param nowNanos current monotonic time, in nanoseconds
     */
    public void applyPeerEvidence(List<CrashEvidence> crashes, long nowNanos) {
        for (CrashEvidence evidence : crashes) {
            long timeNanos = nowNanos - evidence.ageMilliseconds() * 1_000_000;
            if (isExpired(timeNanos, nowNanos) || isRefuted(evidence, timeNanos)) {
                continue;
            }
            Crash crash =
                    crashOf(evidence.endpoint(), evidence.generation(), timeNanos)
                            .orElseGet(
                                    () ->
                                            add(
                                                    evidence.endpoint(),
                                                    evidence.generation(),
                                                    timeNanos,
                                                    PEER_PUBLICATIONS));
            if (crash.addContent(evidence.fingerprint())) {
                mClassification = Optional.empty();
            }
        }
    }

    private boolean isExpired(long timeNanos, long nowNanos) {
        return timeNanos < nowNanos - mSettings.expiry().toNanos();
    }

    private boolean isRefuted(CrashEvidence evidence, long timeNanos) {
        ObservedGeneration known = mGenerations.get(evidence.endpoint());
        return known != null
                && known.generation() == evidence.generation()
                && known.sampleNanos() - TRANSIT_NANOS > timeNanos;
    }

    /**
     * Returns the evidence to publish to peers. Each crash is published several times, since
     * messages may be lost; each call counts as a publication.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     * @return the evidence; empty if there is nothing to publish
     */
    public List<CrashEvidence> evidenceToPublish(long nowNanos) {
        List<CrashEvidence> evidence = new ArrayList<>();
        for (Crash crash : mCrashes) {
            if (crash.mPublicationsLeft > 0 && evidence.size() < MAXIMUM_PUBLISHED) {
                crash.mPublicationsLeft--;
                addEvidence(crash, nowNanos, evidence);
            }
        }
        return evidence;
    }

    /**
     * Returns all evidence, for a peer that has just started.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     * @return the evidence
     */
    public List<CrashEvidence> allEvidence(long nowNanos) {
        List<CrashEvidence> evidence = new ArrayList<>();
        mCrashes.forEach(crash -> addEvidence(crash, nowNanos, evidence));
        return evidence;
    }

    private void addEvidence(Crash crash, long nowNanos, List<CrashEvidence> evidence) {
        boolean alone = crash.mFingerprints.size() == 1;
        long ageMilliseconds = (nowNanos - crash.mTimeNanos) / 1_000_000;
        for (long fingerprint : crash.mFingerprints) {
            evidence.add(
                    new CrashEvidence(
                            fingerprint,
                            crash.mEndpoint,
                            crash.mGeneration,
                            alone,
                            ageMilliseconds));
        }
    }

    /**
     * Applies a new configuration, which defines the failure domain of each endpoint.
     *
     * @param configuration the active configuration
     */
    public void configurationChanged(Configuration configuration) {
        mConfiguration = configuration;
        mDomains.clear();
        configuration.objects().stream()
                .flatMap(object -> object.state().stream())
                .filter(Endpoint.class::isInstance)
                .map(Endpoint.class::cast)
                .forEach(endpoint -> mDomains.put(endpoint.name(), endpoint.failureDomain()));
        mRestarts.keySet().removeIf(name -> configuration.endpoint(name).isEmpty());
        mGenerations.keySet().removeIf(name -> configuration.endpoint(name).isEmpty());
        mClassification = Optional.empty();
    }
}
