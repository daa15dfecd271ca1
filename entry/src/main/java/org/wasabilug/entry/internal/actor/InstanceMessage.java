package org.wasabilug.entry.internal.actor;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wasabilug.internal.event.Decision;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.internal.instance.InstanceStatus;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.RequestId;

/** Messages to the instance actor. */
public sealed interface InstanceMessage {
    /**
     * An event from a client or a peer.
     *
     * @param event event to pass to the core
     */
    record EventArrived(InstanceEvent event) implements InstanceMessage {}

    /**
     * An authenticated and validated request of a caller.
     *
     * @param request request to submit
     * @param fingerprint hash of the target and the body
     * @param sink receives the answer
     */
    record RequestArrived(CallerRequest request, String fingerprint, AnswerSink sink)
            implements InstanceMessage {}

    /**
     * The caller's connection was closed.
     *
     * @param request request of that caller
     * @param sink sink of that request; distinguishes it from a later request with the same id
     */
    record CallerDisconnected(RequestId request, AnswerSink sink) implements InstanceMessage {}

    /**
     * A slow caller has read everything that was queued for it.
     *
     * @param request request of that caller
     * @param sink sink of that request
     */
    record CallerCaughtUp(RequestId request, AnswerSink sink) implements InstanceMessage {}

    /**
     * An operator submits a ticket.
     *
     * @param ticket ticket to submit
     * @param answer completes with the outcome
     */
    record TicketArrived(ChangeTicket ticket, CompletableFuture<TicketAnswer> answer)
            implements InstanceMessage {}

    /**
     * Queries the state of the instance.
     *
     * @param answer completes with the state
     */
    record StatusQuery(CompletableFuture<InstanceStatus> answer) implements InstanceMessage {}

    /**
     * Queries the state of an earlier request.
     *
     * @param request id of the request
     * @param answer completes with the record; empty if this instance has none
     */
    record RequestQuery(RequestId request, CompletableFuture<Optional<RequestRecord>> answer)
            implements InstanceMessage {}

    /**
     * Queries the decisions about a request.
     *
     * @param request id of the request
     * @param answer completes with the decisions, oldest first
     */
    record DecisionsQuery(String request, CompletableFuture<List<Decision>> answer)
            implements InstanceMessage {}

    /** A wake-up that the core requested is due. */
    record WakeUpDue() implements InstanceMessage {}

    /**
     * Begins the planned stop.
     *
     * @param finished completes once no request is in flight
     */
    record StopRequested(CompletableFuture<Void> finished) implements InstanceMessage {}

    /** Stops the actor immediately. */
    record CloseRequested() implements InstanceMessage {}
}
