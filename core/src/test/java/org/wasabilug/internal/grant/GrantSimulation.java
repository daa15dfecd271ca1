package org.wasabilug.internal.grant;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.lease.HeldLease;
import org.wasabilug.internal.lease.LeaseSettings;
import org.wasabilug.internal.lease.SessionLease;
import org.wasabilug.internal.simulation.FaultyTable;
import org.wasabilug.internal.simulation.LostResponsesAsCommits;
import org.wasabilug.internal.simulation.SimulatedProcess;
import org.wasabilug.internal.simulation.VirtualTime;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.LoadReport;
import org.wasabilug.port.VersionedObject;

/** Simulates instances that send as many calls as allowed to an endpoint that often turns cold. */
final class GrantSimulation {
    static final int COLD_LIMIT = 2;
    private static final long MAXIMUM_CALL_NANOS = 4_000_000_000L;
    private static final int INSTANCES = 4;

    final VirtualTime mTime = new VirtualTime();
    final FaultyTable mTable;
    final List<GrantProcess> mProcesses = new ArrayList<>();
    final List<Call> mCallsAtEndpoint = new ArrayList<>();
    int mColdStarts;
    int mViolations;
    private final UniformRandomProvider mRandom;
    private final Defect mDefect;
    private long mGeneration = 1;
    private boolean mCold = true;
    private int mIncarnations;
    private int mPhase = 1;
    private boolean mFaultsEnabled = true;

    /** Defects that the checker must detect. */
    enum Defect {
        NONE,
        TREATS_LOST_RESPONSES_AS_COMMITS,
        IGNORES_LEASE,
        IGNORES_CALLS_OF_ENDED_SESSIONS,
        IGNORES_REPORT_AGE
    }

    /**
     * A call as counted by the endpoint. It is unaware if its sender could not know that the
     * endpoint had turned cold.
     */
    static final class Call {
        final GrantProcess mSender;
        boolean mUnaware;

        Call(GrantProcess sender, boolean unaware) {
            mSender = sender;
            mUnaware = unaware;
        }
    }

    GrantSimulation(long seed, Defect defect) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mTable = new FaultyTable(mTime, mRandom, 0.3);
        mDefect = defect;
        for (int index = 0; index < INSTANCES; index++) {
            mProcesses.add(new GrantProcess(index));
        }
        mTime.every(Duration.ofSeconds(1), this::report);
        mTime.every(Duration.ofSeconds(3), this::injectFault);
    }

    private Endpoint endpoint() {
        return Endpoint.builder()
                .name(new EndpointName("engine-1"))
                .pool(new PoolName("generate"))
                .failureDomain(new FailureDomainName("north"))
                .address(URI.create("http://127.0.0.1:1"))
                .coldLimit(COLD_LIMIT)
                .concurrencyLimit(12)
                .build();
    }

    /** An instance with its lease and grants. */
    final class GrantProcess extends SimulatedProcess {
        final int mIndex;
        final SessionLease mLease;
        final ColdStartGrants mGrants;
        private final Endpoint mEndpoint = endpoint();
        private int mCalls;
        private int mKnownPhase;

        GrantProcess(int index) {
            super(GrantSimulation.this.mTime, mTable, mRandom.nextInt(9) * 1_000_000_000_000L);
            mIndex = index;
            int incarnation = mIncarnations++;
            mLease =
                    SessionLease.builder()
                            .instance(new InstanceName("entry-" + index))
                            .incarnation("process-" + incarnation)
                            .random(RandomSource.XO_RO_SHI_RO_128_PP.create(incarnation))
                            .build();
            mGrants =
                    ColdStartGrants.builder()
                            .lease(mDefect == Defect.IGNORES_LEASE ? permanentLease() : mLease)
                            .random(RandomSource.XO_RO_SHI_RO_128_PP.create(incarnation))
                            .callsInFlight(name -> mCalls)
                            .settings(settings())
                            .build();
            mGrants.configurationChanged(
                    Configuration.empty()
                            .merge(
                                    List.of(
                                            new VersionedObject(
                                                    mEndpoint.objectKey(),
                                                    1,
                                                    Optional.of(mEndpoint)))),
                    clockNanos());
            if (mDefect == Defect.TREATS_LOST_RESPONSES_AS_COMMITS) {
                setAnswerFilter(LostResponsesAsCommits::treatAsCommitted);
            }
            mTime.every(Duration.ofMillis(50), () -> run(this::tick));
        }

        private GrantSettings settings() {
            GrantSettings defaults = GrantSettings.DEFAULT;
            long nanos = mDefect == Defect.IGNORES_CALLS_OF_ENDED_SESSIONS ? 0 : MAXIMUM_CALL_NANOS;
            return new GrantSettings(
                    defaults.readInterval(),
                    defaults.idleTimeout(),
                    defaults.maximumHold(),
                    defaults.additionalSlotDelay(),
                    Duration.ofNanos(nanos),
                    defaults.proofValidity(),
                    defaults.rampStep());
        }

        private HeldLease permanentLease() {
            return new HeldLease() {
                @Override
                public long epoch() {
                    return mLease.epoch();
                }

                @Override
                public boolean isHeld(long nowNanos) {
                    return mLease.epoch() > 0;
                }

                @Override
                public String incarnation() {
                    return mLease.incarnation();
                }

                @Override
                public LeaseSettings settings() {
                    return mLease.settings();
                }

                @Override
                public InstanceName instance() {
                    return mLease.instance();
                }
            };
        }

        private void tick() {
            perform(mLease.tick(clockNanos()));
            perform(mGrants.tick(clockNanos()));
            if (mRandom.nextInt(3) == 0) {
                send();
            }
        }

        private void send() {
            if (mCalls >= mGrants.allowance(mEndpoint, clockNanos())) {
                mGrants.recordDemand(mEndpoint.name(), clockNanos());
                return;
            }
            mCalls++;
            long transit = mRandom.nextInt(20) * 1_000_000L;
            boolean unaware =
                    mGrants.isWarm(mEndpoint.name(), clockNanos()) && mKnownPhase != mPhase;
            mTime.after(transit, () -> arrive(new Call(this, unaware)));
        }

        private void ended() {
            mCalls--;
        }

        private void connectionLost(int phase) {
            mCalls--;
            mKnownPhase = Math.max(mKnownPhase, phase);
            mGrants.recordPossibleRestart(mEndpoint.name(), clockNanos());
        }

        @Override
        protected void handle(InstanceEvent event) {
            perform(mLease.handle(event, clockNanos()));
            perform(mGrants.handle(event, clockNanos()));
        }
    }

    /** Checks the cold limit against the calls of aware senders while the endpoint is cold. */
    private void arrive(Call call) {
        mCallsAtEndpoint.add(call);
        if (mCold && !call.mUnaware) {
            mColdStarts++;
            long aware = mCallsAtEndpoint.stream().filter(each -> !each.mUnaware).count();
            mViolations += aware > COLD_LIMIT ? 1 : 0;
        }
        long duration = MAXIMUM_CALL_NANOS / 20 * (1 + mRandom.nextInt(18));
        mTime.after(
                duration,
                () -> {
                    if (mCallsAtEndpoint.remove(call)) {
                        call.mSender.run(call.mSender::ended);
                    }
                });
    }

    private void report() {
        LoadReport state = new LoadReport(mGeneration, mCold, mCallsAtEndpoint.size(), 0, 0);
        long sampled = mTime.nowNanos();
        int phase = mCold ? mPhase : 0;
        for (GrantProcess process : mProcesses) {
            long lag = mRandom.nextInt(2_000) * 1_000_000L;
            mTime.after(lag, () -> process.run(() -> deliver(process, state, sampled, phase)));
        }
    }

    private void deliver(GrantProcess process, LoadReport state, long sampledNanos, int phase) {
        process.mKnownPhase = Math.max(process.mKnownPhase, phase);
        long age = (mTime.nowNanos() - sampledNanos) / 1_000_000;
        long stated = mDefect == Defect.IGNORES_REPORT_AGE ? -10_000 : age;
        process.mGrants.recordLoadReport(
                process.mEndpoint.name(),
                new LoadReport(state.generation(), state.cold(), state.inFlight(), 0, stated),
                process.clockNanos());
    }

    private void injectFault() {
        if (!mFaultsEnabled) {
            return;
        }
        int index = mRandom.nextInt(mProcesses.size());
        switch (mRandom.nextInt(8)) {
            case 0, 1 -> mProcesses.get(index).pauseFor(mRandom.nextInt(20_000) * 1_000_000L);
            case 2 -> {
                mProcesses.get(index).terminate();
                mProcesses.set(index, new GrantProcess(index));
            }
            case 3 -> mTable.setDown(true);
            case 4 -> restart();
            case 5 -> warm();
            default -> mTable.setDown(false);
        }
    }

    private void restart() {
        mGeneration++;
        mCold = true;
        List<Call> lost = List.copyOf(mCallsAtEndpoint);
        mCallsAtEndpoint.clear();
        int phase = ++mPhase;
        lost.forEach(call -> call.mSender.run(() -> call.mSender.connectionLost(phase)));
    }

    private void warm() {
        mCold = false;
        mPhase++;
        mTime.after(
                mRandom.nextInt(15_000) * 1_000_000L,
                () -> {
                    // The endpoint turns cold without a restart, so its calls stay in flight.
                    mCold = true;
                    mPhase++;
                    mCallsAtEndpoint.forEach(call -> call.mUnaware = true);
                });
    }

    void run() {
        mTime.runFor(Duration.ofMinutes(4));
    }

    /** Stops the faults and returns whether calls at the cold endpoint start again. */
    boolean recovers() {
        mFaultsEnabled = false;
        mTable.setDown(false);
        mTable.setFaultShare(0);
        mTime.runFor(Duration.ofSeconds(60));
        restart();
        mColdStarts = 0;
        mTime.runFor(Duration.ofSeconds(20));
        return mColdStarts > 0;
    }
}
