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

/** Instances that send as much as they may to one endpoint, which turns cold again and again. */
final class GrantSimulation {
    static final int COLD_LIMIT = 2;
    private static final long LONGEST_CALL_NANOS = 4_000_000_000L;
    private static final int INSTANCES = 4;

    final VirtualTime mTime = new VirtualTime();
    final FaultyTable mTable;
    final List<GrantProcess> mProcesses = new ArrayList<>();
    final List<Call> mAtEndpoint = new ArrayList<>();
    int mColdStarts;
    int mViolations;
    private final UniformRandomProvider mRandom;
    private final Defect mDefect;
    private long mGeneration = 1;
    private boolean mCold = true;
    private int mIncarnations;
    private int mSpell = 1;
    private boolean mDisturbed = true;

    /** Defects that the checker must catch. */
    enum Defect {
        NONE,
        TRUSTS_LOST_ANSWERS,
        IGNORES_LEASE,
        FORGETS_CALLS_OF_ENDED_SESSIONS,
        BELIEVES_OLD_REPORTS
    }

    /** A call as the endpoint counts it; unaware where the sender had no evidence of the cold. */
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
        mTime.every(Duration.ofSeconds(3), this::disturb);
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
        private int mKnownSpell;

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
                            .lease(mDefect == Defect.IGNORES_LEASE ? heldForEver() : mLease)
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
            if (mDefect == Defect.TRUSTS_LOST_ANSWERS) {
                setAnswerFilter(LostResponsesAsCommits::treatAsCommitted);
            }
            mTime.every(Duration.ofMillis(50), () -> run(this::tick));
        }

        private GrantSettings settings() {
            GrantSettings usual = GrantSettings.DEFAULT;
            long nanos = mDefect == Defect.FORGETS_CALLS_OF_ENDED_SESSIONS ? 0 : LONGEST_CALL_NANOS;
            return new GrantSettings(
                    usual.look(),
                    usual.idle(),
                    usual.turn(),
                    usual.extraDelay(),
                    Duration.ofNanos(nanos),
                    usual.proofValidity(),
                    usual.rampStep());
        }

        private HeldLease heldForEver() {
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
                    mGrants.isWarm(mEndpoint.name(), clockNanos()) && mKnownSpell != mSpell;
            mTime.after(transit, () -> arrive(new Call(this, unaware)));
        }

        private void ended() {
            mCalls--;
        }

        private void lost(int spell) {
            mCalls--;
            mKnownSpell = Math.max(mKnownSpell, spell);
            mGrants.evidenceOfRestart(mEndpoint.name(), clockNanos());
        }

        @Override
        protected void handle(InstanceEvent event) {
            perform(mLease.handle(event, clockNanos()));
            perform(mGrants.handle(event, clockNanos()));
        }
    }

    /** The endpoint counts the calls of aware senders while it is cold. */
    private void arrive(Call call) {
        mAtEndpoint.add(call);
        if (mCold && !call.mUnaware) {
            mColdStarts++;
            long aware = mAtEndpoint.stream().filter(each -> !each.mUnaware).count();
            mViolations += aware > COLD_LIMIT ? 1 : 0;
        }
        long duration = LONGEST_CALL_NANOS / 20 * (1 + mRandom.nextInt(18));
        mTime.after(
                duration,
                () -> {
                    if (mAtEndpoint.remove(call)) {
                        call.mSender.run(call.mSender::ended);
                    }
                });
    }

    private void report() {
        LoadReport state = new LoadReport(mGeneration, mCold, mAtEndpoint.size(), 0, 0);
        long sampled = mTime.nowNanos();
        int spell = mCold ? mSpell : 0;
        for (GrantProcess process : mProcesses) {
            long lag = mRandom.nextInt(2_000) * 1_000_000L;
            mTime.after(lag, () -> process.run(() -> deliver(process, state, sampled, spell)));
        }
    }

    private void deliver(GrantProcess process, LoadReport state, long sampledNanos, int spell) {
        process.mKnownSpell = Math.max(process.mKnownSpell, spell);
        long age = (mTime.nowNanos() - sampledNanos) / 1_000_000;
        long stated = mDefect == Defect.BELIEVES_OLD_REPORTS ? -10_000 : age;
        process.mGrants.reported(
                process.mEndpoint.name(),
                new LoadReport(state.generation(), state.cold(), state.inFlight(), 0, stated),
                process.clockNanos());
    }

    private void disturb() {
        if (!mDisturbed) {
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
        List<Call> lost = List.copyOf(mAtEndpoint);
        mAtEndpoint.clear();
        int spell = ++mSpell;
        lost.forEach(call -> call.mSender.run(() -> call.mSender.lost(spell)));
    }

    private void warm() {
        mCold = false;
        mSpell++;
        mTime.after(
                mRandom.nextInt(15_000) * 1_000_000L,
                () -> {
                    // Turns cold without a restart; calls stay in flight.
                    mCold = true;
                    mSpell++;
                    mAtEndpoint.forEach(call -> call.mUnaware = true);
                });
    }

    void run() {
        mTime.runFor(Duration.ofMinutes(4));
    }

    /** Ends the faults; true where cold work is going on again afterwards. */
    boolean servesAgain() {
        mDisturbed = false;
        mTable.setDown(false);
        mTable.setFaultShare(0);
        mTime.runFor(Duration.ofSeconds(60));
        restart();
        mColdStarts = 0;
        mTime.runFor(Duration.ofSeconds(20));
        return mColdStarts > 0;
    }
}
