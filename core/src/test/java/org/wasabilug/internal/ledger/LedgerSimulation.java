package org.wasabilug.internal.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.ledger.LedgerStep.SettledClaim;
import org.wasabilug.internal.simulation.FaultyTable;
import org.wasabilug.internal.simulation.SimulatedProcess;
import org.wasabilug.internal.simulation.VirtualTime;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/** Instances that claim, run and record the same requests over one faulty table. */
final class LedgerSimulation {
    static final StageName STAGE = new StageName("transfer");
    private static final int REQUESTS = 25;

    final VirtualTime mTime = new VirtualTime();
    final FaultyTable mTable;
    final Map<RequestId, Integer> mReceived = new HashMap<>();
    final Map<RequestId, List<ClaimOutcome>> mOutcomes = new HashMap<>();
    private final UniformRandomProvider mRandom;
    private final List<LedgerProcess> mProcesses = new ArrayList<>();
    private final UnaryOperator<InstanceEvent> mAnswerFilter;
    private int mIncarnations;

    LedgerSimulation(long seed, double faultShare, UnaryOperator<InstanceEvent> answerFilter) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mTable = new FaultyTable(mTime, mRandom, faultShare);
        mAnswerFilter = answerFilter;
        for (int index = 0; index < 3; index++) {
            mProcesses.add(newProcess());
        }
    }

    private LedgerProcess newProcess() {
        LedgerProcess process = new LedgerProcess("process-" + mIncarnations++);
        process.setAnswerFilter(mAnswerFilter);
        return process;
    }

    /** An instance that dispatches what is granted; some dispatches never reach the endpoint. */
    final class LedgerProcess extends SimulatedProcess {
        final TableLedger mLedger;

        LedgerProcess(String incarnation) {
            super(LedgerSimulation.this.mTime, mTable, mRandom.nextInt(1_000) * 1_000_000_000L);
            mLedger =
                    new TableLedger(
                            incarnation,
                            RandomSource.XO_RO_SHI_RO_128_PP.create(mIncarnations),
                            LedgerSettings.DEFAULT);
            mTime.every(Duration.ofMillis(20), () -> run(() -> take(mLedger.tick(clockNanos()))));
        }

        void claim(RequestId request) {
            take(mLedger.claim(request, STAGE, 1, clockNanos()));
        }

        @Override
        protected void handle(InstanceEvent event) {
            take(mLedger.handle(event, clockNanos()));
        }

        private void take(LedgerStep step) {
            perform(step.actions());
            step.settled().forEach(this::settled);
        }

        private void settled(SettledClaim claim) {
            RequestId request = claim.request();
            mOutcomes.computeIfAbsent(request, key -> new ArrayList<>()).add(claim.outcome());
            if (!(claim.outcome() instanceof ClaimOutcome.Granted)) {
                return;
            }
            if (mRandom.nextInt(5) == 0) {
                take(mLedger.release(request, STAGE, clockNanos()));
                return;
            }
            mReceived.merge(request, 1, Integer::sum);
            String result = "result of " + request;
            mTime.after(
                    mRandom.nextInt(800) * 1_000_000L,
                    () -> run(() -> take(mLedger.record(request, STAGE, result, clockNanos()))));
        }
    }

    /** Callers send each request to several instances, again and again, while faults happen. */
    void run() {
        for (int index = 0; index < REQUESTS; index++) {
            RequestId request = new RequestId("workspace:" + index);
            for (int sending = 0; sending < 6; sending++) {
                long delay = (index * 300L + mRandom.nextInt(12_000)) * 1_000_000L;
                mTime.after(delay, () -> send(request));
            }
        }
        mTime.every(Duration.ofSeconds(2), this::disturb);
        mTime.runFor(Duration.ofSeconds(30));
        mTable.setDown(false);
        mTable.setFaultShare(0);
        mDisturbed = false;
        mTime.runFor(Duration.ofSeconds(60));
    }

    private boolean mDisturbed = true;

    private void send(RequestId request) {
        LedgerProcess process = mProcesses.get(mRandom.nextInt(mProcesses.size()));
        process.run(() -> process.claim(request));
    }

    private void disturb() {
        if (!mDisturbed) {
            return;
        }
        int index = mRandom.nextInt(mProcesses.size());
        switch (mRandom.nextInt(4)) {
            case 0 -> mProcesses.get(index).pauseFor(mRandom.nextInt(6_000) * 1_000_000L);
            case 1 -> {
                mProcesses.get(index).terminate();
                mProcesses.set(index, newProcess());
            }
            case 2 -> mTable.setDown(true);
            default -> mTable.setDown(false);
        }
    }

    /** Outcome of one more claim at a live instance, without faults. */
    ClaimOutcome askAgain(RequestId request) {
        LedgerProcess process = newProcess();
        process.claim(request);
        mTime.runFor(Duration.ofSeconds(2));
        return mOutcomes.get(request).getLast();
    }

    int unrecorded() {
        return mProcesses.stream().mapToInt(process -> process.mLedger.unrecorded()).sum();
    }
}
