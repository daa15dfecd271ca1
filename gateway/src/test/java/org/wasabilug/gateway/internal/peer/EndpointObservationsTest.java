package org.wasabilug.gateway.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.internal.DisconnectedState;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.ServerLoad;
import org.wasabilug.internal.serving.ServiceSpeeds;
import org.wasabilug.messages.gateway.EndpointObservation;
import org.wasabilug.messages.gateway.GatewayHeartbeat;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.StoreRevision;

class EndpointObservationsTest {
    /** Long enough before the tests for reports of peers to count. */
    private static final long REGISTERED_MILLIS_AGO = 20_000;

    private final DisconnectedState mDisconnected = new DisconnectedState();
    private final DisconnectedState mOther = new DisconnectedState();

    @AfterEach
    void stop() {
        mDisconnected.close();
        mOther.close();
    }

    private static EndpointState register(GatewayState state, String name) {
        state.directory()
                .register(
                        new EndpointRegistration(
                                name,
                                "engines",
                                "10.0.0.1",
                                80,
                                "rennes",
                                2,
                                false,
                                0,
                                0,
                                "v1",
                                new StoreRevision(0, 1)),
                        state.nowMillis() - REGISTERED_MILLIS_AGO);
        return state.directory().find(name).orElseThrow();
    }

    private static void observe(GatewayState state, String name, int percent) {
        EndpointState endpoint = register(state, name);
        ServiceSpeeds speeds = state.speedMonitor().speeds();
        long now = state.nowMillis();
        speeds.recordStated(endpoint, new ServerLoad(3, 1, 64, percent), now);
        speeds.recordElapsed(endpoint, speeds.predict(endpoint, 60, now), 200, now);
    }

    private static GatewayHeartbeat heartbeat(GatewayState state) {
        GatewayHeartbeat.Builder heartbeat = GatewayHeartbeat.newBuilder();
        EndpointObservations.add(state, heartbeat);
        return heartbeat.build();
    }

    /** Guards against learning that stays with one instance. */
    @Test
    void whatOneInstanceLearnedReachesAnother() {
        observe(mDisconnected.state(), "engine", 200);
        EndpointObservation sent =
                heartbeat(mDisconnected.state()).getEndpointObservationsList().getFirst();
        assertThat(sent.getRunning()).isEqualTo(3);
        assertThat(sent.getStatedPercent()).isEqualTo(200);
        assertThat(sent.getSamples()).isBetween(0.9, 1.0);

        GatewayState other = mOther.state();
        EndpointState known = register(other, "engine");
        long now = other.nowMillis();
        EndpointObservations.apply(other, "peer", heartbeat(mDisconnected.state()), now);

        assertThat(other.speedMonitor().speeds().isShared("engines", now)).isTrue();
        assertThat(other.speedMonitor().speeds().predict(known, 60, now).momentary())
                .isGreaterThan(1.5);
        assertThat(heartbeat(other).getEndpointObservationsList()).isEmpty();
    }

    /** Guards against heartbeats that grow with the number of endpoints. */
    @Test
    void aHeartbeatHoldsOnlyTheNewestObservations() {
        for (int number = 0; number < 80; number++) {
            observe(mDisconnected.state(), "engine-" + number, 100);
        }

        assertThat(heartbeat(mDisconnected.state()).getEndpointObservationsList()).hasSize(64);
    }

    /** Guards against figures of a defective or later peer. */
    @Test
    void reportsThatCannotBeRightChangeNothing() {
        GatewayState state = mDisconnected.state();
        EndpointState known = register(state, "engine");
        long now = state.nowMillis();
        for (long age : new long[] {-5, Long.MIN_VALUE, Long.MAX_VALUE}) {
            apply(state, report().setAgeMilliseconds(age).setStatedPercent(900), now);
        }
        apply(state, report().setStatedPercent(-100).setSlowness(Double.NaN), now);
        apply(state, report().setStatedPercent(Integer.MAX_VALUE).setSlowness(-3), now);
        apply(state, report().setStatedPercent(100).setRunning(-1), now);
        apply(state, report().setEndpoint("unknown").setStatedPercent(900), now);

        assertThat(state.speedMonitor().speeds().isShared("engines", now)).isFalse();
        assertThat(state.speedMonitor().speeds().predict(known, 60, now).momentary()).isEqualTo(1);
    }

    private static EndpointObservation.Builder report() {
        return EndpointObservation.newBuilder().setEndpoint("engine").setSamples(5);
    }

    private static void apply(GatewayState state, EndpointObservation.Builder report, long now) {
        GatewayHeartbeat heartbeat =
                GatewayHeartbeat.newBuilder().addEndpointObservations(report).build();
        EndpointObservations.apply(state, "peer", heartbeat, now);
    }
}
