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

/** Simulates instances that run harmless contents and one that crashes every endpoint. */
final class QuarantineSimulation {
    static final long POISON = 666;
    private static final int ENDPOINTS = 9;
    private static final int INSTANCES = 4;
    private static final long MILLISECOND_NANOS = 1_000_000L;

    final VirtualTime mTime = new VirtualTime();
    final Set<Long> mQuarantined = new HashSet<>();
    int mPoisonCrashes;
    int mFinished;
    private final UniformRandomProvider mRandom;
    private final boolean mPublishesEvidence;
    private final boolean mCausesOtherFaults;
    private final List<Instance> mInstances = new ArrayList<>();
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<DomainCrash> mPoisonCrashTimes = new ArrayList<>();
    private final List<DomainCrash> mDomainFailures = new ArrayList<>();
    private int mRequests;

    private record DomainCrash(long atNanos, int domain) {
        boolean coincidesWith(DomainCrash other) {
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
                mQuarantined.add(fingerprint);
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

        void connectionLost(AttemptId attempt) {
            mQuarantine.ended(attempt, true, mTime.nowNanos());
            long fingerprint = mContents.get(attempt);
            int number = (int) attempt.number() + 1;
            if (number <= 3) {
                long backoff = (300 + mRandom.nextInt(200)) * MILLISECOND_NANOS;
                mTime.after(backoff, () -> send(fingerprint, attempt.request(), number));
            }
        }
    }

    QuarantineSimulation(long seed, boolean publishesEvidence, boolean causesOtherFaults) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mPublishesEvidence = publishesEvidence;
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
        mTime.every(Duration.ofMillis(20), this::sendHarmlessContent);
        mTime.every(Duration.ofSeconds(3), () -> randomInstance().send(POISON, nextRequest(), 1));
        mTime.every(Duration.ofMillis(100), this::publishEvidence);
        mTime.every(Duration.ofMillis(500), this::report);
        mTime.every(Duration.ofSeconds(7), this::injectFault);
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

    private Instance randomInstance() {
        return mInstances.get(mRandom.nextInt(INSTANCES));
    }

    private RequestId nextRequest() {
        return new RequestId("request-" + ++mRequests);
    }

    private void sendHarmlessContent() {
        RequestId request = nextRequest();
        randomInstance().send(1_000 + mRequests, request, 1);
    }

    private void crashByPoison(Engine engine, AttemptId attempt) {
        if (engine.mAttempts.containsKey(attempt)) {
            recordPoisonCrash(mEngines.indexOf(engine) % 3);
            crash(engine);
        }
    }

    /**
     * Records a crash with its time and domain. A crash that coincides with the failure of a whole
     * domain can't be distinguished from it and is not counted by {@link #distinctPoisonCrashes}.
     */
    private void recordPoisonCrash(int domain) {
        mPoisonCrashes++;
        mPoisonCrashTimes.add(new DomainCrash(mTime.nowNanos(), domain));
    }

    private void crash(Engine engine) {
        engine.mGeneration++;
        loseConnections(engine);
    }

    private void loseConnections(Engine engine) {
        Map<AttemptId, Instance> attempts = new HashMap<>(engine.mAttempts);
        engine.mAttempts.clear();
        attempts.forEach(
                (attempt, instance) ->
                        mTime.after(
                                mRandom.nextInt(20) * MILLISECOND_NANOS,
                                () -> instance.connectionLost(attempt)));
    }

    private void publishEvidence() {
        if (!mPublishesEvidence) {
            return;
        }
        for (Instance sender : mInstances) {
            List<CrashEvidence> evidence = sender.mQuarantine.evidenceToPublish(mTime.nowNanos());
            for (Instance peer : mInstances) {
                if (peer != sender && mRandom.nextInt(10) > 0) {
                    mTime.after(
                            (5 + mRandom.nextInt(40)) * MILLISECOND_NANOS,
                            () -> peer.mQuarantine.applyPeerEvidence(evidence, mTime.nowNanos()));
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
                                instance.mQuarantine.recordLoadReport(
                                        engine.mName, report, mTime.nowNanos()));
            }
        }
    }

    private void injectFault() {
        if (!mCausesOtherFaults) {
            return;
        }
        int domain = mRandom.nextInt(3);
        if (mRandom.nextBoolean()) {
            loseConnections(mEngines.get(mRandom.nextInt(ENDPOINTS)));
        } else {
            mDomainFailures.add(new DomainCrash(mTime.nowNanos(), domain));
            mEngines.stream()
                    .filter(engine -> mEngines.indexOf(engine) % 3 == domain)
                    .forEach(this::crash);
        }
    }

    void run() {
        mTime.runFor(Duration.ofMinutes(2));
    }

    /** Returns the number of crashes by the poison content that no domain failure conceals. */
    long distinctPoisonCrashes() {
        return mPoisonCrashTimes.stream()
                .filter(crash -> mDomainFailures.stream().noneMatch(crash::coincidesWith))
                .count();
    }

    long innocentContentsQuarantined() {
        return mQuarantined.stream().filter(fingerprint -> fingerprint != POISON).count();
    }
}
