package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RetryPermitTest {
    private static final int WINDOW_MILLIS = 10_000;

    /** With the margin of the budget, 40 retries may be sent within a window. */
    private static final int RESERVE = 50;

    private static final int LIMIT = 40;
    private static final EndpointState ENDPOINT = ServingFixtures.endpoint("near", "rennes");

    private final StageQueue mQueue = new StageQueue();
    private RetryBudget mBudget;

    @BeforeEach
    @BeforeTry
    void openBudget() {
        mBudget = new RetryBudget(new RetryLimits(0.2, RESERVE, WINDOW_MILLIS));
        mBudget.openReserve(0);
    }

    private List<RetryPermit> reserve(long now) {
        List<RetryPermit> permits = new ArrayList<>();
        while (true) {
            BudgetDecision decision = mBudget.tryReserve("service", 1, 1, now);
            if (!decision.granted()) {
                return permits;
            }
            permits.addAll(decision.permits());
        }
    }

    private static int sentWithinAWindow(List<Long> sends) {
        int most = 0;
        for (long start : sends) {
            long end = start + WINDOW_MILLIS;
            most =
                    Math.max(
                            most,
                            (int) sends.stream().filter(at -> at >= start && at < end).count());
        }
        return most;
    }

    /** Guards against permits of one window that wait and are sent with those of the next one. */
    @Test
    void retriesThatWaitForSecondsAreNotSentBesideThoseOfTheNextWindow() {
        List<Long> sends = new ArrayList<>();
        List<RetryPermit> waiting = reserve(0);
        for (RetryPermit permit : waiting) {
            permit.use(WINDOW_MILLIS - 1);
            sends.add(WINDOW_MILLIS - 1L);
        }
        for (RetryPermit permit : reserve(WINDOW_MILLIS)) {
            permit.use(WINDOW_MILLIS);
            sends.add((long) WINDOW_MILLIS);
        }

        assertThat(waiting).hasSize(LIMIT);
        assertThat(sentWithinAWindow(sends)).isLessThanOrEqualTo(LIMIT);
    }

    /** Guards against any order of grants, waits, sends and returns that exceeds the limit. */
    @Property(tries = 100)
    void noWindowHasMoreRetriesThanTheLimitAndNoneIsLost(@ForAll long seed) {
        Random random = new Random(seed);
        List<RetryPermit> held = new ArrayList<>();
        List<Long> sends = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 200; step++) {
            now += random.nextInt(1_000);
            held.addAll(mBudget.tryReserve("service", 1 + random.nextInt(9), 1, now).permits());
            int ends = random.nextInt(8) == 0 ? held.size() : 0;
            for (; ends > 0; ends--) {
                RetryPermit permit = held.removeFirst();
                if (random.nextInt(4) > 0) {
                    permit.use(now);
                    sends.add(now);
                }
                permit.giveBack();
            }
        }
        held.forEach(RetryPermit::giveBack);
        List<RetryPermit> left = reserve(now + WINDOW_MILLIS);

        assertThat(sentWithinAWindow(sends)).isLessThanOrEqualTo(LIMIT);
        assertThat(left).hasSize(LIMIT);
    }

    private void queue(int piece) {
        RetryPermit permit = mBudget.tryReserve("service", 1, 1, 0).permits().getFirst();
        mQueue.add(ServingFixtures.piece("request", piece, 100, 0), permit, 0);
    }

    /** Guards against permits that are lost, or spent, with pieces that are never sent. */
    @Test
    void aPieceThatLeavesItsQueueUnsentGivesItsPermitBack() {
        for (int piece = 0; piece < 3; piece++) {
            queue(piece);
        }
        queue(0);
        assertThat(mBudget.reserved()).isEqualTo(3);
        mQueue.cancel(ServingFixtures.piece("request", 1, 100, 0).id());
        assertThat(mBudget.reserved()).isEqualTo(2);
        mQueue.cancel("request");
        assertThat(mBudget.reserved()).isZero();

        queue(0);
        mQueue.removeAll();
        queue(1);
        assertThat(mQueue.removeExpired(1_000)).hasSize(1);

        assertThat(mBudget.reserved()).isZero();
        assertThat(reserve(0)).hasSize(LIMIT);
    }

    @Test
    void aPieceOfAQueueUsesItsPermitWhenItIsSent() {
        queue(0);

        mQueue.formCalls(ServingFixtures.STAGE, List.of(ENDPOINT), WINDOW_MILLIS - 1);

        assertThat(mBudget.reserved()).isZero();
        assertThat(reserve(2 * WINDOW_MILLIS - 2)).hasSize(LIMIT - 1);
    }
}
