package org.wasabilug.endpoint.internal.call;

import java.net.URI;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.wasabilug.endpoint.wire.EndpointJson;
import org.wasabilug.endpoint.wire.EndpointPaths;
import org.wasabilug.endpoint.wire.StateOrder;
import org.wasabilug.internal.event.EngineOrder;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OrderOutcome;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.EngineTarget;

/** Orders engines to change their state, and reads their state. */
public final class EngineControl {
    private final ControlExchange mExchange;

    /**
     * Creates the control.
     *
     * @param connections connections to the engines
     * @param limits limits of answers
     */
    public EngineControl(EndpointConnections connections, CallLimits limits) {
        mExchange = new ControlExchange(connections, limits);
    }

    /**
     * Sends an order.
     *
     * @param order order to send
     * @param events receives the outcome
     */
    public void order(EngineOrder order, Consumer<InstanceEvent> events) {
        EngineTarget target = order.target();
        StateOrder body =
                new StateOrder(
                        target.model(),
                        target.version(),
                        target.adapters(),
                        target.role(),
                        order.fencingNumber());
        HttpRequest request =
                HttpRequest.POST(EndpointPaths.STATE)
                        .withEntity(ContentTypes.APPLICATION_JSON, EndpointJson.write(body));
        send(target.endpoint(), order.address(), request, events);
    }

    /**
     * Reads the state of an engine.
     *
     * @param endpoint name of the engine
     * @param address base address of the engine
     * @param events receives the outcome
     */
    public void readState(EndpointName endpoint, URI address, Consumer<InstanceEvent> events) {
        send(endpoint, address, HttpRequest.GET(EndpointPaths.STATE), events);
    }

    private void send(
            EndpointName endpoint,
            URI address,
            HttpRequest request,
            Consumer<InstanceEvent> events) {
        mExchange
                .send(address, request)
                .thenApply(EngineControl::outcome)
                .exceptionally(failure -> new OrderOutcome.Unreachable())
                .thenAccept(
                        outcome ->
                                events.accept(new InstanceEvent.OrderAnswered(endpoint, outcome)));
    }

    private static OrderOutcome outcome(ControlExchange.ControlAnswer answer) {
        return switch (answer.status()) {
            case ControlExchange.OK ->
                    EndpointJson.read(answer.body(), OrderOutcome.State.class)
                            .<OrderOutcome>map(state -> state)
                            .orElseGet(OrderOutcome.Unreachable::new);
            case ControlExchange.CONFLICT ->
                    EndpointJson.read(answer.body(), OrderOutcome.StaleFencing.class)
                            .<OrderOutcome>map(stale -> stale)
                            .orElseGet(OrderOutcome.Unreachable::new);
            default -> new OrderOutcome.Unreachable();
        };
    }
}
