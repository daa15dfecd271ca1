package org.wasabilug.internal.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.simulation.FaultyTable;
import org.wasabilug.internal.simulation.LostResponsesAsCommits;
import org.wasabilug.internal.simulation.SimulatedProcess;
import org.wasabilug.internal.simulation.VirtualTime;
import org.wasabilug.model.InstanceName;

class SessionLeaseTest {
    private static final int SCHEDULES = 300;

    private final VirtualTime mTime = new VirtualTime();

    /** A process that ticks its lease ten times a second. */
    private static final class Holder extends SimulatedProcess {
        final SessionLease mLease;

        Holder(VirtualTime time, FaultyTable table, String incarnation, long seed) {
            super(time, table, seed * 1_000_000_000L);
            mLease =
                    SessionLease.builder()
                            .instance(new InstanceName("entry-1"))
                            .incarnation(incarnation)
                            .random(RandomSource.XO_RO_SHI_RO_128_PP.create(seed))
                            .build();
            time.every(Duration.ofMillis(100), () -> run(() -> perform(mLease.tick(clockNanos()))));
        }

        @Override
        protected void handle(InstanceEvent event) {
            perform(mLease.handle(event, clockNanos()));
        }

        void release() {
            perform(mLease.release(clockNanos()));
        }

        boolean isHeld() {
            return !isTerminated() && mLease.isHeld(clockNanos());
        }
    }

    private FaultyTable table(long seed, double faultShare) {
        return new FaultyTable(mTime, RandomSource.XO_RO_SHI_RO_128_PP.create(seed), faultShare);
    }

    @Test
    void holdsWhileRenewalsAreAnswered() {
        Holder holder = new Holder(mTime, table(1, 0), "first", 1);

        mTime.runFor(Duration.ofMinutes(5));

        assertThat(holder.isHeld()).isTrue();
        assertThat(holder.mLease.epoch()).isEqualTo(1);
    }

    @Test
    void expiresBeforeItsTermEndsWhileTheTableIsDown() {
        FaultyTable table = table(2, 0);
        Holder holder = new Holder(mTime, table, "first", 1);
        mTime.runFor(Duration.ofSeconds(10));

        table.setDown(true);
        mTime.runFor(LeaseSettings.DEFAULT.term());

        assertThat(holder.isHeld()).isFalse();
    }

    @Test
    void opensHigherEpochAfterExpiry() {
        FaultyTable table = table(3, 0);
        Holder holder = new Holder(mTime, table, "first", 1);
        mTime.runFor(Duration.ofSeconds(10));

        holder.pauseFor(Duration.ofMinutes(3).toNanos());
        mTime.runFor(Duration.ofSeconds(181));

        assertThat(holder.isHeld()).isTrue();
        assertThat(holder.mLease.epoch()).isEqualTo(2);
    }

    @Test
    void successorWaitsForTheTermOfDeadProcessToEnd() {
        FaultyTable table = table(4, 0);
        Holder first = new Holder(mTime, table, "first", 1);
        mTime.runFor(Duration.ofSeconds(10));
        first.terminate();

        Holder second = new Holder(mTime, table, "second", 2);
        mTime.runFor(LeaseSettings.DEFAULT.term());

        assertThat(second.isHeld()).isFalse();
        mTime.runFor(Duration.ofSeconds(6));
        assertThat(second.isHeld()).isTrue();
    }

    @Test
    void successorAcquiresReleasedLeaseAtOnce() {
        FaultyTable table = table(5, 0);
        Holder first = new Holder(mTime, table, "first", 1);
        mTime.runFor(Duration.ofSeconds(10));
        first.release();
        mTime.runFor(Duration.ofSeconds(1));

        Holder second = new Holder(mTime, table, "second", 2);
        mTime.runFor(Duration.ofSeconds(1));

        assertThat(first.mLease.isReleased()).isTrue();
        assertThat(second.isHeld()).isTrue();
    }

    @Test
    void sendsNoMoreRequestsDuringLongOutageThanWhileRenewing() {
        FaultyTable table = table(6, 0);
        new Holder(mTime, table, "first", 1);
        table.setDown(true);
        mTime.runFor(Duration.ofMinutes(1));
        int before = table.commits() + table.reads();

        mTime.runFor(Duration.ofMinutes(10));

        int requests = table.commits() + table.reads() - before;
        assertThat(requests).isLessThanOrEqualTo(10 * 60 / 3 + 20);
    }

    @Test
    void neverHasTwoHoldersUnderFaults() {
        int violations = 0;
        int heldSamples = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            List<Integer> holders = holdersOverTime(seed, false);
            violations += (int) holders.stream().filter(count -> count > 1).count();
            heldSamples += (int) holders.stream().filter(count -> count == 1).count();
        }

        assertThat(violations).isZero();
        assertThat(heldSamples).isGreaterThan(SCHEDULES * 100);
    }

    @Test
    void detectsHolderThatTreatsLostAnswersAsCommits() {
        int violations = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            violations +=
                    (int) holdersOverTime(seed, true).stream().filter(count -> count > 1).count();
        }

        assertThat(violations).isPositive();
    }

    /**
     * Samples the number of holders ten times a second while processes of one instance pause, die
     * and start.
     */
    private List<Integer> holdersOverTime(long seed, boolean trustsLostAnswers) {
        VirtualTime time = new VirtualTime();
        var random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        FaultyTable table = new FaultyTable(time, random, 0.4);
        List<Holder> holders = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        time.every(
                Duration.ofSeconds(7),
                () -> {
                    if (holders.size() < 4) {
                        Holder next = new Holder(time, table, "p" + holders.size(), holders.size());
                        next.setAnswerFilter(
                                trustsLostAnswers
                                        ? LostResponsesAsCommits::treatAsCommitted
                                        : UnaryOperator.identity());
                        holders.add(next);
                    }
                    Holder victim = holders.get(random.nextInt(holders.size()));
                    if (random.nextInt(3) == 0) {
                        victim.pauseFor(random.nextInt(30) * 1_000_000_000L);
                    } else if (random.nextInt(12) == 0) {
                        victim.terminate();
                    }
                    table.setDown(random.nextInt(6) == 0);
                });
        time.every(
                Duration.ofMillis(100),
                () -> counts.add((int) holders.stream().filter(Holder::isHeld).count()));
        time.runFor(Duration.ofMinutes(3));
        return counts;
    }
}
