package org.wasabilug.internal.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What instances know of each other, and what that costs, at several sizes of the fleet. */
class GossipSpreadTest {
    private static final long WARM_UP_MILLIS = 5_000;

    /** Four neighbors, one message a round each; a spare neighbor while views differ. */
    private static final double MAX_MESSAGES_PER_SECOND = 5 * 1_000.0 / GossipTiming.ROUND_MILLIS;

    /** Renewed states a second at any size, over four links. */
    private static final double MAX_STATES_PER_SECOND = 4 * 250;

    @ParameterizedTest
    @ValueSource(ints = {30, 100, 300, 450})
    void stateOfEachInstanceReachesAllBeforeItCountsAsOldAtABoundedCost(int size) {
        GossipFleet fleet = new GossipFleet(size, size);
        fleet.runMillis(WARM_UP_MILLIS);

        for (int second = 0; second < 3; second++) {
            fleet.runMillis(1_000 + second * 37);
            assertThat(fleet.oldestStateMillis()).isLessThan(GossipTiming.maxAgeMillis(size));
        }
        assertThat(fleet.messagesPerInstanceSecond()).isLessThan(MAX_MESSAGES_PER_SECOND);
        assertThat(fleet.statesPerInstanceSecond()).isLessThan(MAX_STATES_PER_SECOND);
    }

    @ParameterizedTest
    @ValueSource(ints = {30, 100, 300, 450})
    void instancesThatEndAreKnownAsLostEverywhereAndNoOthersAre(int size) {
        GossipFleet fleet = new GossipFleet(size, size);
        fleet.runMillis(WARM_UP_MILLIS);
        fleet.stopEvery(5);
        fleet.runMillis(GossipTiming.maxAgeMillis(size) + GossipTiming.ROUND_MILLIS);

        for (String name : fleet.running()) {
            assertThat(fleet.liveAt(name)).containsExactlyInAnyOrderElementsOf(fleet.running());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {30, 100, 300, 450})
    void halfOfTheInstancesMayEndAtOnce(int size) {
        GossipFleet fleet = new GossipFleet(size, size);
        fleet.runMillis(WARM_UP_MILLIS);
        fleet.stopEvery(2);
        fleet.runMillis(4 * GossipTiming.maxAgeMillis(size));

        for (String name : fleet.running()) {
            assertThat(fleet.liveAt(name)).containsExactlyInAnyOrderElementsOf(fleet.running());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {30, 100, 300, 450})
    void aFailureDomainThatIsCutOffStaysConnectedInItselfAndIsFoundAgain(int size) {
        GossipFleet fleet = new GossipFleet(size, size);
        fleet.runMillis(WARM_UP_MILLIS);
        String cut = GossipFleet.domain(fleet.running().iterator().next());
        fleet.cut(
                (from, to) ->
                        GossipFleet.domain(from).equals(cut) != GossipFleet.domain(to).equals(cut));
        fleet.runMillis(3 * GossipTiming.maxAgeMillis(size));

        for (String name : fleet.running()) {
            assertThat(fleet.liveAt(name))
                    .containsExactlyInAnyOrderElementsOf(
                            fleet.running().stream()
                                    .filter(
                                            each ->
                                                    GossipFleet.domain(each).equals(cut)
                                                            == GossipFleet.domain(name).equals(cut))
                                    .toList());
        }

        fleet.cut((from, to) -> false);
        fleet.runMillis(GossipTiming.maxAgeMillis(size));
        for (String name : fleet.running()) {
            assertThat(fleet.liveAt(name)).containsExactlyInAnyOrderElementsOf(fleet.running());
        }
    }
}
