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
 * <p>A lost connection is taken for a crash until a later report shows the endpoint in the same
 * life. Every content that ran there is a suspect; {@link CrashJudge} tells the culprit.
 */
public final class CrashQuarantine implements CrashWatch {
    private static final int OWN_SHARES = 5;
    private static final int HEARD_SHARES = 2;
    private static final int MAXIMUM_SHARED = 64;

    /** From then on a suspect may go to any endpoint, as its own may be away. */
    private static final long TURNS_END_NANOS = 30_000_000_000L;

    /** A report may have been on its way for this long beyond its stated age. */
    private static final long TRANSIT_NANOS = 500_000_000L;

    private final QuarantineSettings mSettings;
    private final CrashJudge mJudge;
    private final Map<AttemptId, Running> mRunning = new HashMap<>();
    private final Map<EndpointName, Life> mLives = new HashMap<>();
    private final Map<EndpointName, Long> mRestarts = new HashMap<>();
    private final List<Crash> mCrashes = new ArrayList<>();
    private Optional<CrashJudge.Judgement> mJudgement = Optional.empty();
    private final Map<EndpointName, FailureDomainName> mDomains = new HashMap<>();
    private long mNextChangeNanos = Long.MIN_VALUE;
    private Configuration mConfiguration = Configuration.empty();

    private record Running(long fingerprint, EndpointName endpoint, long sinceNanos) {}

    private record Life(long generation, long sampleNanos) {}

    /**
     * Creates a quarantine without evidence.
     *
     * @param settings times and bounds
     */
    public CrashQuarantine(QuarantineSettings settings) {
        mSettings = settings;
        mJudge = new CrashJudge(settings, name -> Optional.ofNullable(mDomains.get(name)));
    }

    @Override
    public Suspicion classify(long fingerprint, long nowNanos) {
        if (mCrashes.isEmpty()) {
            return Suspicion.CLEAN;
        }
        CrashJudge.Judgement judgement = judgement(nowNanos);
        if (judgement.quarantined().contains(fingerprint)) {
            return Suspicion.QUARANTINED;
        }
        return judgement.suspects().contains(fingerprint) ? Suspicion.SUSPECT : Suspicion.CLEAN;
    }

    private CrashJudge.Judgement judgement(long nowNanos) {
        if (mJudgement.isEmpty() || nowNanos >= mNextChangeNanos) {
            dropExpired(nowNanos);
            confirmOld(nowNanos);
            mNextChangeNanos =
                    mCrashes.stream().mapToLong(this::nextChangeOf).min().orElse(Long.MAX_VALUE);
            mJudgement = Optional.of(mJudge.judge(mCrashes, mRestarts));
        }
        return mJudgement.get();
    }

    private long nextChangeOf(Crash crash) {
        long lasts = (crash.mConfirmed ? mSettings.expiry() : mSettings.confirmation()).toNanos();
        return crash.mTimeNanos + lasts + 1;
    }

    private void confirmOld(long nowNanos) {
        long oldest = nowNanos - mSettings.confirmation().toNanos();
        mCrashes.stream()
                .filter(crash -> crash.mTimeNanos < oldest)
                .forEach(crash -> crash.mConfirmed = true);
    }

    private void dropExpired(long nowNanos) {
        long oldest = nowNanos - mSettings.expiry().toNanos();
        mCrashes.removeIf(crash -> crash.mTimeNanos < oldest);
    }

    /**
     * {@inheritDoc}
     *
     * <p>The suspects of one crash are spread over the other endpoints of the pool by rank, the
     * same way at every instance, so that the next crash tells them apart. A content waits while it
     * is not known whether a lost connection was its second crash.
     */
    @Override
    public boolean mayRunAt(long fingerprint, EndpointName endpoint, long nowNanos) {
        Suspicion suspicion = classify(fingerprint, nowNanos);
        if (suspicion == Suspicion.CLEAN) {
            return true;
        }
        if (suspicion == Suspicion.QUARANTINED
                || judgement(nowNanos).waiting().contains(fingerprint)) {
            return false;
        }
        boolean apart =
                mRunning.values().stream()
                        .filter(running -> running.endpoint().equals(endpoint))
                        .noneMatch(running -> isSuspect(running.fingerprint(), nowNanos));
        return apart
                && mCrashes.stream()
                        .filter(crash -> crash.mFingerprints.contains(fingerprint))
                        .allMatch(crash -> isItsTurn(fingerprint, crash, endpoint, nowNanos));
    }

    private boolean isSuspect(long fingerprint, long nowNanos) {
        return classify(fingerprint, nowNanos) != Suspicion.CLEAN;
    }

    private boolean isItsTurn(long fingerprint, Crash crash, EndpointName endpoint, long nowNanos) {
        List<EndpointName> others = othersInPoolOf(crash.mEndpoint);
        long sinceNanos = nowNanos - crash.mTimeNanos;
        if (others.isEmpty() || sinceNanos > TURNS_END_NANOS) {
            return true;
        }
        int rank = crash.rankOf(fingerprint);
        long startNanos = rank / others.size() * mSettings.wave().toNanos();
        return sinceNanos >= startNanos && others.get(rank % others.size()).equals(endpoint);
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

    /** A content that completes crashes no endpoint. */
    @Override
    public void completed(AttemptId attempt, long nowNanos) {
        Running running = mRunning.get(attempt);
        if (running == null || classify(running.fingerprint(), nowNanos) == Suspicion.CLEAN) {
            return;
        }
        mCrashes.forEach(crash -> crash.clear(running.fingerprint()));
        mJudgement = Optional.empty();
    }

    @Override
    public List<InstanceAction> ended(AttemptId attempt, boolean crashed, long nowNanos) {
        Running ended = mRunning.remove(attempt);
        if (ended == null || !crashed) {
            return List.of();
        }
        long generation =
                Optional.ofNullable(mLives.get(ended.endpoint())).map(Life::generation).orElse(0L);
        Optional<Crash> known = crashOf(ended.endpoint(), generation, nowNanos);
        Crash crash =
                known.filter(each -> ended.sinceNanos() <= each.mTimeNanos)
                        .orElseGet(() -> add(ended.endpoint(), generation, nowNanos, OWN_SHARES));
        crash.accuse(ended.fingerprint());
        crash.mSharesLeft = OWN_SHARES;
        mRunning.values().stream()
                .filter(running -> running.endpoint().equals(ended.endpoint()))
                .filter(running -> running.sinceNanos() <= crash.mTimeNanos)
                .forEach(running -> crash.accuse(running.fingerprint()));
        mJudgement = Optional.empty();
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
                "connection lost while the content ran",
                -1);
    }

    private Optional<Crash> crashOf(EndpointName endpoint, long generation, long timeNanos) {
        long window = mSettings.sameCrashWindow().toNanos();
        return mCrashes.stream()
                .filter(crash -> crash.isOf(endpoint, generation))
                .filter(crash -> Math.abs(crash.mTimeNanos - timeNanos) <= window)
                .max(Comparator.comparingLong(crash -> crash.mTimeNanos));
    }

    private Crash add(EndpointName endpoint, long generation, long timeNanos, int shares) {
        if (mCrashes.size() >= mSettings.maximumCrashes()) {
            mCrashes.remove(
                    mCrashes.stream()
                            .min(Comparator.comparingLong(crash -> crash.mTimeNanos))
                            .orElseThrow());
        }
        Crash crash = new Crash(endpoint, generation, timeNanos, shares);
        mCrashes.add(crash);
        return crash;
    }

    /**
     * Takes a load report; it tells whether a lost connection was a crash.
     *
     * @param endpoint whose
     * @param report the report
     * @param nowNanos monotonic time, in nanoseconds
     */
    public void reported(EndpointName endpoint, LoadReport report, long nowNanos) {
        long sampleNanos = nowNanos - report.ageMilliseconds() * 1_000_000;
        Life life = mLives.get(endpoint);
        if (life != null && sampleNanos < life.sampleNanos()) {
            return;
        }
        if (life != null && life.generation() != report.generation()) {
            restarted(endpoint, report.generation(), nowNanos);
        }
        mLives.put(endpoint, new Life(report.generation(), sampleNanos));
        boolean dismissed =
                mCrashes.removeIf(
                        crash ->
                                crash.isOf(endpoint, report.generation())
                                        && sampleNanos - TRANSIT_NANOS > crash.mTimeNanos);
        if (dismissed) {
            mJudgement = Optional.empty();
        }
    }

    private void restarted(EndpointName endpoint, long generation, long nowNanos) {
        mRestarts.put(endpoint, nowNanos);
        mCrashes.stream()
                .filter(crash -> crash.mEndpoint.equals(endpoint))
                .filter(crash -> crash.mGeneration != generation)
                .forEach(crash -> crash.mConfirmed = true);
        mJudgement = Optional.empty();
    }

    /**
     * Takes evidence of a peer.
     *
     * @param crashes the evidence
     * @param nowNanos monotonic time, in nanoseconds
     */
    public void heard(List<CrashEvidence> crashes, long nowNanos) {
        for (CrashEvidence evidence : crashes) {
            long timeNanos = nowNanos - evidence.ageMilliseconds() * 1_000_000;
            if (isExpired(timeNanos, nowNanos) || isDisproved(evidence, timeNanos)) {
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
                                                    HEARD_SHARES));
            if (crash.accuse(evidence.fingerprint())) {
                mJudgement = Optional.empty();
            }
        }
    }

    private boolean isExpired(long timeNanos, long nowNanos) {
        return timeNanos < nowNanos - mSettings.expiry().toNanos();
    }

    private boolean isDisproved(CrashEvidence evidence, long timeNanos) {
        Life life = mLives.get(evidence.endpoint());
        return life != null
                && life.generation() == evidence.generation()
                && life.sampleNanos() - TRANSIT_NANOS > timeNanos;
    }

    /**
     * Evidence to tell peers now; each crash is told a few times, since messages get lost.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return the evidence; empty where there is nothing to tell
     */
    public List<CrashEvidence> toShare(long nowNanos) {
        List<CrashEvidence> evidence = new ArrayList<>();
        for (Crash crash : mCrashes) {
            if (crash.mSharesLeft > 0 && evidence.size() < MAXIMUM_SHARED) {
                crash.mSharesLeft--;
                addEvidence(crash, nowNanos, evidence);
            }
        }
        return evidence;
    }

    /**
     * All evidence, for a peer that has just started.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return the evidence
     */
    public List<CrashEvidence> all(long nowNanos) {
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
     * Takes a new configuration, which tells the failure domain of each endpoint.
     *
     * @param configuration configuration in force
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
        mLives.keySet().removeIf(name -> configuration.endpoint(name).isEmpty());
        mJudgement = Optional.empty();
    }
}
