package org.wasabilug.endpoint;

import java.net.URI;
import java.util.function.Consumer;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.EngineOrder;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;

/** Client of the endpoints. Results are delivered as events, on any thread. */
public interface EndpointClient extends AutoCloseable {
    /**
     * Runs an attempt. Delivers {@code ChunkArrived} events in order, then exactly one of {@code
     * StageFinished} and {@code StageFailed}. A load report in the answer's header is delivered
     * first.
     *
     * @param call stage call to send
     * @param events receives the events
     */
    void run(StageCall call, Consumer<InstanceEvent> events);

    /**
     * Cancels an attempt at the endpoint. No further event of the attempt is delivered.
     *
     * @param attempt id of the attempt
     */
    void cancel(AttemptId attempt);

    /**
     * Stops reading the answer of an attempt, because the caller reads slowly.
     *
     * @param attempt id of the attempt
     */
    void pauseReading(AttemptId attempt);

    /**
     * Continues to read the answer of an attempt.
     *
     * @param attempt id of the attempt
     */
    void resumeReading(AttemptId attempt);

    /**
     * Polls the load and the cache events of an endpoint.
     *
     * @param endpoint endpoint to poll
     * @param events receives {@code LoadReported} and {@code CacheEventsArrived}; nothing if the
     *     endpoint does not answer
     */
    void poll(Endpoint endpoint, Consumer<InstanceEvent> events);

    /**
     * Orders an engine to change to a target state.
     *
     * @param order order to send
     * @param events receives {@code OrderAnswered}
     */
    void order(EngineOrder order, Consumer<InstanceEvent> events);

    /**
     * Reads the state of an engine.
     *
     * @param endpoint name of the engine
     * @param address base address of the engine
     * @param events receives {@code OrderAnswered}
     */
    void readState(EndpointName endpoint, URI address, Consumer<InstanceEvent> events);

    @Override
    void close();
}
