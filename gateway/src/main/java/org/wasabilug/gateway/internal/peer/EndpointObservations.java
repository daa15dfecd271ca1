package org.wasabilug.gateway.internal.peer;

import java.util.Optional;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.SpeedMonitor;
import org.wasabilug.internal.serving.EndpointSpeed;
import org.wasabilug.internal.serving.ServerLoad;
import org.wasabilug.messages.gateway.EndpointObservation;
import org.wasabilug.messages.gateway.GatewayHeartbeat;

/** Load and speed of endpoints in heartbeats. */
final class EndpointObservations {
    private static final long MAX_AGE_MILLIS = 60_000;

    private EndpointObservations() {}

    /** Adds what this instance has lately learned. */
    static void add(GatewayState state, GatewayHeartbeat.Builder heartbeat) {
        long now = state.nowMillis();
        for (SpeedMonitor.Observed observed : state.speedMonitor().recentObservations()) {
            heartbeat.addEndpointObservations(message(observed, now));
        }
    }

    static EndpointObservation message(SpeedMonitor.Observed observed, long nowMillis) {
        EndpointSpeed.Observation observation = observed.observation();
        EndpointObservation.Builder message =
                EndpointObservation.newBuilder()
                        .setEndpoint(observed.endpoint().registration().name())
                        .setSlowness(observation.slowness())
                        .setSamples(observation.samples());
        observation
                .load()
                .ifPresent(
                        load ->
                                message.setAgeMilliseconds(nowMillis - observation.statedMillis())
                                        .setRunning(load.running())
                                        .setWaiting(load.waiting())
                                        .setSlots(load.slots())
                                        .setStatedPercent(load.percent()));
        return message.build();
    }

    /** Applies what a peer has learned; figures that can't be right are ignored. */
    static void apply(
            GatewayState state, String sender, GatewayHeartbeat heartbeat, long writtenMillis) {
        for (EndpointObservation message : heartbeat.getEndpointObservationsList()) {
            state.directory()
                    .find(message.getEndpoint())
                    .map(
                            endpoint ->
                                    new SpeedMonitor.Observed(
                                            endpoint, read(message, writtenMillis)))
                    .ifPresent(
                            observed ->
                                    state.speedMonitor()
                                            .recordPeerReport(sender, observed, writtenMillis));
        }
    }

    private static EndpointSpeed.Observation read(EndpointObservation message, long writtenMillis) {
        long age = message.getAgeMilliseconds();
        Optional<ServerLoad> load =
                ServerLoad.of(
                                message.getRunning(),
                                message.getWaiting(),
                                message.getSlots(),
                                message.getStatedPercent())
                        .filter(ServerLoad::statesSpeed)
                        .filter(each -> age >= 0 && age <= MAX_AGE_MILLIS);
        long stated = load.isPresent() ? writtenMillis - age : writtenMillis;
        return new EndpointSpeed.Observation(
                load, stated, message.getSlowness(), message.getSamples());
    }
}
