package org.wasabilug.gateway.internal.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wasabilug.gateway.CallerSettings;
import org.wasabilug.gateway.FeatureSettings.MachineLimits;
import org.wasabilug.gateway.internal.limit.LeastUseful.Use;

/** How many connections there may be, and which one makes room for a new one. */
class ConnectionLimitsTest {
    private record Connection(Use use, long sinceMillis) implements LeastUseful.Candidate {}

    /** Guards against listeners that leave no descriptors for endpoints and the store. */
    @ParameterizedTest
    @ValueSource(ints = {0, 500, 2_212, 4_100, 10_250})
    void allListenersTogetherLeaveDescriptorsForEndpoints(int descriptors) {
        ConnectionShares shares =
                ConnectionShares.of(new MachineLimits(0, descriptors), CallerSettings.DEFAULT);
        int known = descriptors == 0 ? 8_192 : descriptors;
        int open = shares.callers() + shares.readiness() + shares.peers() + 2 * shares.relays();

        assertThat(open).isLessThanOrEqualTo((known - 200) * 7 / 8);
        assertThat(shares.readiness()).isPositive();
    }

    /** Guards against a new caller that is refused, or a request that is cut, for an idle one. */
    @Test
    void theOneWithoutRequestForLongestMakesRoom() {
        assertThat(
                        chosen(
                                new Connection(Use.SERVING, 1),
                                new Connection(Use.RECEIVING, 2),
                                new Connection(Use.WAITING, 9),
                                new Connection(Use.WAITING, 8),
                                new Connection(Use.UNREAD, 3)))
                .isEqualTo(new Connection(Use.WAITING, 8));
        assertThat(chosen(new Connection(Use.RECEIVING, 2), new Connection(Use.UNREAD, 3)))
                .isEqualTo(new Connection(Use.UNREAD, 3));
    }

    @Test
    void aConnectionThatServesARequestIsNotClosed() {
        assertThat(LeastUseful.of(Stream.of(new Connection(Use.SERVING, 1)))).isEmpty();
    }

    private static Connection chosen(Connection... connections) {
        return LeastUseful.of(Arrays.stream(connections)).orElseThrow();
    }
}
