package org.wasabilug.endpoint;

import java.net.URI;
import java.util.function.Consumer;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.EngineOrder;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;

/** Calls to endpoints. What comes of them arrives as events, on any thread. */
public interface EndpointClient extends AutoCloseable {
    /**
     * Runs an attempt. Delivers {@code ChunkArrived} events in order, then exactly one of {@code
     * StageFinished} and {@code StageFailed}; a load report that rides on the answer comes first.
     *
     * @param call the call
     * @param events receives the events
     */
    void run(StageCall call, Consumer<InstanceEvent> events);

    /**
     * Cancels an attempt at the endpoint; no further event of it is delivered.
     *
     * @param attempt the attempt
     */
    void cancel(AttemptId attempt);

    /**
     * Stops reading an attempt's answer, for a caller that reads slowly.
     *
     * @param attempt the attempt
     */
    void pauseReading(AttemptId attempt);

    /**
     * Goes on reading an attempt's answer.
     *
     * @param attempt the attempt
     */
    void resumeReading(AttemptId attempt);

    /**
     * Asks an endpoint for its load and cache events.
     *
     * @param endpoint the endpoint
     * @param events receives {@code LoadReported} and {@code CacheEventsArrived}; nothing where the
     *     endpoint does not answer
     */
    void poll(Endpoint endpoint, Consumer<InstanceEvent> events);

    /**
     * Orders an engine to take its desired state.
     *
     * @param order the order
     * @param events receives {@code OrderAnswered}
     */
    void order(EngineOrder order, Consumer<InstanceEvent> events);

    /**
     * Reads the state of an engine.
     *
     * @param endpoint the engine
     * @param address its base address
     * @param events receives {@code OrderAnswered}
     */
    void readState(EndpointName endpoint, URI address, Consumer<InstanceEvent> events);

    @Override
    void close();
}
