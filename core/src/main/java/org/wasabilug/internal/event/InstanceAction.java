package org.wasabilug.internal.event;

import java.net.URI;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.port.PeerMessage;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;

/** An action that the decision core of an entry instance requests from its runtime. */
public sealed interface InstanceAction {
    /**
     * Sends a stage call to an endpoint.
     *
     * @param call the call
     */
    record Dispatch(StageCall call) implements InstanceAction {}

    /**
     * Cancels an attempt at its endpoint.
     *
     * @param attempt the attempt
     */
    record CancelAttempt(AttemptId attempt) implements InstanceAction {}

    /**
     * Sends a part of the answer to the caller.
     *
     * @param request the request
     * @param stage stage that produced the part
     * @param text text of the part
     */
    record SendToCaller(RequestId request, StageName stage, String text)
            implements InstanceAction {}

    /**
     * Ends the answer, all of which was sent to the caller before.
     *
     * @param request the request
     */
    record CompleteRequest(RequestId request) implements InstanceAction {}

    /**
     * Ends a request without a complete answer.
     *
     * @param request the request
     * @param refusal error that the caller receives
     */
    record RefuseRequest(RequestId request, Refusal refusal) implements InstanceAction {}

    /**
     * Sends a transaction to the table service.
     *
     * @param operation correlation id of the response
     * @param transaction the transaction
     */
    record CommitTable(OperationId operation, TableTransaction transaction)
            implements InstanceAction {}

    /**
     * Reads from the table service.
     *
     * @param operation correlation id of the response
     * @param read the read
     */
    record ReadTable(OperationId operation, TableRead read) implements InstanceAction {}

    /**
     * Reads an object of the object store.
     *
     * @param operation correlation id of the response
     * @param name name of the object
     */
    record ReadObject(OperationId operation, String name) implements InstanceAction {}

    /**
     * Writes an object of the object store.
     *
     * @param operation correlation id of the response
     * @param name name of the object
     * @param text content of the object
     */
    record WriteObject(OperationId operation, String name, String text) implements InstanceAction {}

    /**
     * Reads the platform's instance list.
     *
     * @param operation correlation id of the response
     */
    record ReadInstanceList(OperationId operation) implements InstanceAction {}

    /**
     * Sends a message to another instance; delivery is not guaranteed.
     *
     * @param peer the receiver
     * @param address IP address and port of the receiver
     * @param message the message
     */
    record SendToPeer(InstanceName peer, String address, PeerMessage message)
            implements InstanceAction {}

    /**
     * Orders an engine to apply its desired state.
     *
     * @param order the order
     */
    record SendOrder(EngineOrder order) implements InstanceAction {}

    /**
     * Reads the state of an engine.
     *
     * @param endpoint the engine
     * @param address base address of the engine
     */
    record ReadEngineState(EndpointName endpoint, URI address) implements InstanceAction {}

    /**
     * Answers a ticket submitted by an operator.
     *
     * @param submission number of the submission
     * @param answer the answer
     */
    record AnswerTicket(long submission, TicketAnswer answer) implements InstanceAction {}

    /**
     * Polls an endpoint for its load report and cache events.
     *
     * @param endpoint the endpoint
     */
    record PollEndpoint(Endpoint endpoint) implements InstanceAction {}

    /**
     * Schedules an {@link InstanceEvent.TimerFired} event.
     *
     * @param atNanos monotonic time of the event, in nanoseconds
     */
    record ScheduleWakeUp(long atNanos) implements InstanceAction {}

    /**
     * Logs a decision.
     *
     * @param decision the decision
     */
    record LogDecision(Decision decision) implements InstanceAction {}

    /** Completes a planned stop: nothing is in flight any more and the process may exit. */
    record FinishStop() implements InstanceAction {}
}
