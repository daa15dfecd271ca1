package org.wasabilug.endpoint.internal.call;

import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.wasabilug.endpoint.wire.EndpointJson;
import org.wasabilug.endpoint.wire.EndpointPaths;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.port.CacheEvents;
import org.wasabilug.port.LoadReport;

/** Polls endpoints for their load and for changes of their prefix caches. */
public final class LoadPoller {
    private final ConcurrentHashMap<EndpointName, Position> mPositions = new ConcurrentHashMap<>();
    private final ControlExchange mExchange;

    /**
     * Creates the poller.
     *
     * @param connections connections to the endpoints
     * @param limits limits of answers
     */
    public LoadPoller(EndpointConnections connections, CallLimits limits) {
        mExchange = new ControlExchange(connections, limits);
    }

    /**
     * Polls once. Delivers no event if the endpoint does not answer.
     *
     * @param endpoint endpoint to poll
     * @param events receives the load report and the cache events
     */
    public void poll(Endpoint endpoint, Consumer<InstanceEvent> events) {
        mExchange
                .send(endpoint.address(), HttpRequest.GET(EndpointPaths.LOAD))
                .thenAccept(answer -> reportLoad(endpoint.name(), answer, events));
        mExchange
                .send(endpoint.address(), HttpRequest.GET(cacheEventsPath(endpoint.name())))
                .thenAccept(answer -> reportCache(endpoint.name(), answer, events));
    }

    private String cacheEventsPath(EndpointName endpoint) {
        long after = mPositions.getOrDefault(endpoint, Position.START).sequence();
        return EndpointPaths.CACHE_EVENTS + "?" + EndpointPaths.AFTER_PARAMETER + "=" + after;
    }

    private static void reportLoad(
            EndpointName endpoint,
            ControlExchange.ControlAnswer answer,
            Consumer<InstanceEvent> events) {
        if (answer.status() == ControlExchange.OK) {
            EndpointJson.read(answer.body(), LoadReport.class)
                    .ifPresent(
                            report ->
                                    events.accept(
                                            new InstanceEvent.LoadReported(endpoint, report)));
        }
    }

    private void reportCache(
            EndpointName endpoint,
            ControlExchange.ControlAnswer answer,
            Consumer<InstanceEvent> events) {
        if (answer.status() == ControlExchange.OK) {
            EndpointJson.read(answer.body(), CacheEvents.class)
                    .ifPresent(changes -> apply(endpoint, changes, events));
        }
    }

    private void apply(EndpointName endpoint, CacheEvents changes, Consumer<InstanceEvent> events) {
        Position previous = mPositions.getOrDefault(endpoint, Position.START);
        boolean restarted = previous.generation() != changes.generation();
        if (restarted && previous.sequence() > 0) {
            // A new generation restarts its sequence numbers at 1; the next poll reads it from
            // there.
            mPositions.put(endpoint, new Position(changes.generation(), 0));
            return;
        }
        int count = changes.stored().size() + changes.evicted().size();
        long last = changes.firstSequence() + count - 1;
        mPositions.put(endpoint, new Position(changes.generation(), last));
        if (count > 0) {
            events.accept(new InstanceEvent.CacheEventsArrived(endpoint, changes));
        }
    }

    private record Position(long generation, long sequence) {
        private static final Position START = new Position(0, 0);
    }
}
