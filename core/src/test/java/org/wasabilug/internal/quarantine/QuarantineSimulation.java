package org.wasabilug.internal.quarantine;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.simulation.VirtualTime;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.port.CrashEvidence;
import org.wasabilug.port.LoadReport;
import org.wasabilug.port.VersionedObject;

/** Instances that run innocent contents and one that crashes each endpoint that runs it. */
final class QuarantineSimulation {
    static final long POISON = 666;
    private static final int ENDPOINTS = 9;
    private static final int INSTANCES = 4;
    private static final long MILLISECOND_NANOS = 1_000_000L;

    final VirtualTime mTime = new VirtualTime();
    final Set<Long> mCondemned = new HashSet<>();
    int mPoisonCrashes;
    int mFinished;
    private final UniformRandomProvider mRandom;
    private final boolean mSharesEvidence;
    private final boolean mCausesOtherFaults;
    private final List<Instance> mInstances = new ArrayList<>();
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<DomainCrash> mPoisonTimes = new ArrayList<>();
    private final List<DomainCrash> mFalls = new ArrayList<>();
    private int mRequests;

    private record DomainCrash(long atNanos, int domain) {
        boolean isBeside(DomainCrash other) {
            return domain == other.domain
                    && Math.abs(atNanos - other.atNanos) <= 4_000 * MILLISECOND_NANOS;
        }
    }

    /** An endpoint; a crash ends every attempt on it. */
    private static final class Engine {
        final EndpointName mName;
        long mGeneration = 1;
        final Map<AttemptId, Instance> mAttempts = new HashMap<>();

        Engine(int index) {
            mName = new EndpointName("engine-" + index);
        }
    }

    private final class Instance {
        final CrashQuarantine mQuarantine = new CrashQuarantine(QuarantineSettings.DEFAULT);
        final Map<AttemptId, Long> mContents = new HashMap<>();

        void send(long fingerprint, RequestId request, int attempts) {
            long now = mTime.nowNanos();
            Suspicion suspicion = mQuarantine.classify(fingerprint, now);
            if (suspicion == Suspicion.QUARANTINED) {
                mCondemned.add(fingerprint);
                return;
            }
            List<Engine> allowed =
                    mEngines.stream()
                            .filter(e -> mQuarantine.mayRunAt(fingerprint, e.mName, now))
                            .toList();
            if (allowed.isEmpty()) {
                long wait = 200 * MILLISECOND_NANOS;
                mTime.after(wait, () -> send(fingerprint, request, attempts));
                return;
            }
            Engine engine = allowed.get(mRandom.nextInt(allowed.size()));
            AttemptId attempt = new AttemptId(request, new StageName("generate"), attempts);
            mQuarantine.dispatched(attempt, fingerprint, engine.mName, now);
            mContents.put(attempt, fingerprint);
            engine.mAttempts.put(attempt, this);
            long duration = (50 + mRandom.nextInt(1_000)) * MILLISECOND_NANOS;
            mTime.after(duration, () -> finish(engine, attempt));
            if (fingerprint == POISON) {
                mTime.after(40 * MILLISECOND_NANOS, () -> crashByPoison(engine, attempt));
            }
        }

        void finish(Engine engine, AttemptId attempt) {
            if (engine.mAttempts.remove(attempt) != null) {
                mFinished++;
                mQuarantine.completed(attempt, mTime.nowNanos());
                mQuarantine.ended(attempt, false, mTime.nowNanos());
            }
        }

        void lost(AttemptId attempt) {
            mQuarantine.ended(attempt, true, mTime.nowNanos());
            long fingerprint = mContents.get(attempt);
            int number = (int) attempt.number() + 1;
            if (number <= 3) {
                long backoff = (300 + mRandom.nextInt(200)) * MILLISECOND_NANOS;
                mTime.after(backoff, () -> send(fingerprint, attempt.request(), number));
            }
        }
    }

    QuarantineSimulation(long seed, boolean sharesEvidence, boolean causesOtherFaults) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mSharesEvidence = sharesEvidence;
        mCausesOtherFaults = causesOtherFaults;
        for (int index = 0; index < ENDPOINTS; index++) {
            mEngines.add(new Engine(index));
        }
        Configuration configuration = Configuration.empty().merge(objects());
        for (int index = 0; index < INSTANCES; index++) {
            Instance instance = new Instance();
            instance.mQuarantine.configurationChanged(configuration);
            mInstances.add(instance);
        }
        mTime.every(Duration.ofMillis(20), this::sendInnocent);
        mTime.every(Duration.ofSeconds(3), () -> any().send(POISON, nextRequest(), 1));
        mTime.every(Duration.ofMillis(100), this::share);
        mTime.every(Duration.ofMillis(500), this::report);
        mTime.every(Duration.ofSeconds(7), this::disturb);
    }

    private List<VersionedObject> objects() {
        return mEngines.stream()
                .map(
                        engine ->
                                Endpoint.builder()
                                        .name(engine.mName)
                                        .pool(new PoolName("generate"))
                                        .failureDomain(
                                                new FailureDomainName(
                                                        "domain-" + mEngines.indexOf(engine) % 3))
                                        .address(URI.create("http://127.0.0.1:1"))
                                        .build())
                .map(each -> new VersionedObject(each.objectKey(), 1, Optional.of(each)))
                .toList();
    }

    private Instance any() {
        return mInstances.get(mRandom.nextInt(INSTANCES));
    }

    private RequestId nextRequest() {
        return new RequestId("request-" + ++mRequests);
    }

    private void sendInnocent() {
        RequestId request = nextRequest();
        any().send(1_000 + mRequests, request, 1);
    }

    private void crashByPoison(Engine engine, AttemptId attempt) {
        if (engine.mAttempts.containsKey(attempt)) {
            crashedByPoison(mEngines.indexOf(engine) % 3);
            crash(engine);
        }
    }

    /** A crash at the moment of a whole domain's fall can't be told from it and is not counted. */
    private void crashedByPoison(int domain) {
        mPoisonCrashes++;
        mPoisonTimes.add(new DomainCrash(mTime.nowNanos(), domain));
    }

    private void crash(Engine engine) {
        engine.mGeneration++;
        loseAll(engine);
    }

    private void loseAll(Engine engine) {
        Map<AttemptId, Instance> attempts = new HashMap<>(engine.mAttempts);
        engine.mAttempts.clear();
        attempts.forEach(
                (attempt, instance) ->
                        mTime.after(
                                mRandom.nextInt(20) * MILLISECOND_NANOS,
                                () -> instance.lost(attempt)));
    }

    private void share() {
        if (!mSharesEvidence) {
            return;
        }
        for (Instance sender : mInstances) {
            List<CrashEvidence> evidence = sender.mQuarantine.toShare(mTime.nowNanos());
            for (Instance peer : mInstances) {
                if (peer != sender && mRandom.nextInt(10) > 0) {
                    mTime.after(
                            (5 + mRandom.nextInt(40)) * MILLISECOND_NANOS,
                            () -> peer.mQuarantine.heard(evidence, mTime.nowNanos()));
                }
            }
        }
    }

    private void report() {
        for (Engine engine : mEngines) {
            LoadReport report = new LoadReport(engine.mGeneration, false, 0, 0, 100);
            for (Instance instance : mInstances) {
                mTime.after(
                        100 * MILLISECOND_NANOS,
                        () ->
                                instance.mQuarantine.reported(
                                        engine.mName, report, mTime.nowNanos()));
            }
        }
    }

    private void disturb() {
        if (!mCausesOtherFaults) {
            return;
        }
        int domain = mRandom.nextInt(3);
        if (mRandom.nextBoolean()) {
            loseAll(mEngines.get(mRandom.nextInt(ENDPOINTS)));
        } else {
            mFalls.add(new DomainCrash(mTime.nowNanos(), domain));
            mEngines.stream()
                    .filter(engine -> mEngines.indexOf(engine) % 3 == domain)
                    .forEach(this::crash);
        }
    }

    void run() {
        mTime.runFor(Duration.ofMinutes(2));
    }

    /** Crashes by the poisonous content that no domain's fall hides. */
    long clearPoisonCrashes() {
        return mPoisonTimes.stream()
                .filter(crash -> mFalls.stream().noneMatch(crash::isBeside))
                .count();
    }

    long innocentsCondemned() {
        return mCondemned.stream().filter(fingerprint -> fingerprint != POISON).count();
    }
}
