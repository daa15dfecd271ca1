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

/** What an entry instance asks its shell to do. */
public sealed interface InstanceAction {
    /**
     * Runs an attempt at an endpoint.
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
     * Passes part of the answer on.
     *
     * @param request whose answer
     * @param stage stage that made it
     * @param text the part
     */
    record SendToCaller(RequestId request, StageName stage, String text)
            implements InstanceAction {}

    /**
     * Ends the answer; all of it has been passed on.
     *
     * @param request whose answer
     */
    record CompleteRequest(RequestId request) implements InstanceAction {}

    /**
     * Ends a request without a complete answer.
     *
     * @param request which
     * @param refusal why
     */
    record RefuseRequest(RequestId request, Refusal refusal) implements InstanceAction {}

    /**
     * Sends a transaction to the table service.
     *
     * @param operation names the answer
     * @param transaction the transaction
     */
    record CommitTable(OperationId operation, TableTransaction transaction)
            implements InstanceAction {}

    /**
     * Reads from the table service.
     *
     * @param operation names the answer
     * @param read the read
     */
    record ReadTable(OperationId operation, TableRead read) implements InstanceAction {}

    /**
     * Reads an object of the object store.
     *
     * @param operation names the answer
     * @param name name of the object
     */
    record ReadObject(OperationId operation, String name) implements InstanceAction {}

    /**
     * Writes an object of the object store.
     *
     * @param operation names the answer
     * @param name name of the object
     * @param text its content
     */
    record WriteObject(OperationId operation, String name, String text) implements InstanceAction {}

    /**
     * Reads the platform's instance list.
     *
     * @param operation names the answer
     */
    record ReadInstanceList(OperationId operation) implements InstanceAction {}

    /**
     * Sends a message to another instance; it may get lost.
     *
     * @param peer to whom
     * @param address IP number and port
     * @param message the message
     */
    record SendToPeer(InstanceName peer, String address, PeerMessage message)
            implements InstanceAction {}

    /**
     * Orders an engine to take its desired state.
     *
     * @param order the order
     */
    record SendOrder(EngineOrder order) implements InstanceAction {}

    /**
     * Reads the state of an engine.
     *
     * @param endpoint the engine
     * @param address its base address
     */
    record ReadEngineState(EndpointName endpoint, URI address) implements InstanceAction {}

    /**
     * Answers an operator.
     *
     * @param submission number of the submission
     * @param answer the answer
     */
    record AnswerTicket(long submission, TicketAnswer answer) implements InstanceAction {}

    /**
     * Asks an endpoint for its load and cache events.
     *
     * @param endpoint the endpoint
     */
    record PollEndpoint(Endpoint endpoint) implements InstanceAction {}

    /**
     * Asks for a {@link InstanceEvent.TimerFired} event.
     *
     * @param atNanos when, on the monotonic clock, in nanoseconds
     */
    record ScheduleWakeUp(long atNanos) implements InstanceAction {}

    /**
     * Writes one log line.
     *
     * @param decision the decision
     */
    record LogDecision(Decision decision) implements InstanceAction {}

    /** Everything in flight has ended; the process may end. */
    record FinishStop() implements InstanceAction {}
}
