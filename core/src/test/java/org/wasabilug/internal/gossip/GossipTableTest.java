package org.wasabilug.internal.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class GossipTableTest {
    private static final long MAX_AGE_MILLIS = 1_000;

    private final GossipTable<String> mTable = new GossipTable<>();

    private static GossipState<String> state(String instance, long version, long ageMillis) {
        return new GossipState<>(instance, version, ageMillis, instance + " at " + version);
    }

    private boolean receive(String neighbor, GossipState<String> state, long nowMillis) {
        return mTable.receive(neighbor, state, MAX_AGE_MILLIS, nowMillis);
    }

    @Test
    void aStateIsPassedOnOnceAndNotBackToWhereItCameFrom() {
        assertThat(receive("neighbor-1", state("far", 5, 100), 0)).isTrue();

        assertThat(mTable.takeNews("neighbor-1", MAX_AGE_MILLIS, 10)).isEmpty();
        assertThat(mTable.takeNews("neighbor-2", MAX_AGE_MILLIS, 10))
                .containsExactly(new GossipState<>("far", 5, 110, "far at 5"));
        assertThat(mTable.takeNews("neighbor-2", MAX_AGE_MILLIS, 20)).isEmpty();
    }

    @Test
    void anOlderVersionIsNoNewsWhileTheKnownOneIsFresh() {
        receive("neighbor-1", state("far", 5, 0), 0);

        assertThat(receive("neighbor-2", state("far", 4, 0), 500)).isFalse();
        assertThat(receive("neighbor-2", state("far", 5, 0), 500)).isFalse();
    }

    @Test
    void anInstanceWhoseClockWentBackIsHeardAgainOnceItsLastStateIsOld() {
        receive("neighbor-1", state("far", 5, 0), 0);

        assertThat(receive("neighbor-2", state("far", 4, 0), MAX_AGE_MILLIS)).isTrue();
    }

    @Test
    void aStateThatIsTooOldIsNeitherTakenNorPassedOn() {
        assertThat(receive("neighbor-1", state("gone", 5, MAX_AGE_MILLIS), 0)).isFalse();
        receive("neighbor-1", state("far", 5, 900), 0);

        assertThat(mTable.takeNews("neighbor-2", MAX_AGE_MILLIS, 100)).isEmpty();
    }

    @Test
    void aNeighborGetsAllStatesAgainOnANewConnection() {
        receive("neighbor-1", state("far", 5, 0), 0);
        mTable.takeNews("neighbor-2", MAX_AGE_MILLIS, 10);

        mTable.reset("neighbor-2");

        assertThat(mTable.takeNews("neighbor-2", MAX_AGE_MILLIS, 20)).hasSize(1);
    }
}
