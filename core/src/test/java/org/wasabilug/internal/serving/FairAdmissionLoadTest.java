package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.serving.StageLoad.Request;

/** What callers of 16 workspaces and three ranks get of a stage, without and with fair shares. */
class FairAdmissionLoadTest {
    /** The requirement: nobody is served less than a quarter as often as all requests. */
    private static final double LEAST_OF_AVERAGE = 0.25;

    /** The least share of a rank that asks for a third of twice the capacity. */
    private static final double LEAST_OF_RANK = FairOrder.LEAST_RANK_SHARE / (2.0 / 3);

    private static double served(List<Request> requests, Predicate<Request> of) {
        return StageLoad.share(requests, of, Request::served);
    }

    private static double inTime(List<Request> requests, Predicate<Request> of) {
        return StageLoad.share(requests, of, Request::inTime);
    }

    private static void assertNobodyStarves(List<Request> requests) {
        double least = LEAST_OF_AVERAGE * served(requests, Request::inBurst);
        for (String workspace :
                requests.stream().map(Request::workspace).collect(Collectors.toSet())) {
            assertThat(
                            served(
                                    requests,
                                    each -> each.inBurst() && each.workspace().equals(workspace)))
                    .as(workspace)
                    .isGreaterThanOrEqualTo(least);
        }
        for (int rank = 0; rank < 3; rank++) {
            int of = rank;
            assertThat(served(requests, each -> each.inBurst() && each.rank() == of))
                    .as("rank %d", rank)
                    .isGreaterThanOrEqualTo(LEAST_OF_RANK);
        }
        assertThat(served(requests, each -> each.inBurst() && each.pieces() == StageLoad.LARGEST))
                .isGreaterThanOrEqualTo(least);
    }

    @Test
    void aBurstThatFitsBeforeTheDeadlinesIsServedAltogether() {
        List<Request> requests = StageLoad.play(true, StageLoad.burst(0.6, 0.2));

        assertThat(served(requests, each -> true)).isEqualTo(1);
    }

    @Test
    void nobodyStarvesInABurstOfTwiceTheCapacity() {
        List<Request> before = StageLoad.play(false, StageLoad.burst(1, 0.3));
        List<Request> after = StageLoad.play(true, StageLoad.burst(1, 0.3));

        assertThat(inTime(after, each -> true)).isGreaterThan(inTime(before, each -> true));
        assertNobodyStarves(after);
    }

    @Test
    void aWorkspaceThatAsksForMostDoesNotPushTheOthersOut() {
        List<Request> before = StageLoad.play(false, StageLoad.burst(1, 0.6));
        List<Request> after = StageLoad.play(true, StageLoad.burst(1, 0.6));
        Predicate<Request> others =
                each -> each.inBurst() && !each.workspace().equals("workspace-0");

        assertThat(inTime(after, others)).isGreaterThan(inTime(before, others));
        assertThat(served(after, others)).isGreaterThan(served(before, others));
        assertNobodyStarves(after);
    }

    @Test
    void allRequestsAreInTimeBelowTheCapacity() {
        List<Request> requests = StageLoad.play(true, StageLoad.burst(0.35, 0.3));

        assertThat(inTime(requests, each -> true)).isEqualTo(1);
    }
}
