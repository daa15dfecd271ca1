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

/** What the instance's actor is told. */
public sealed interface InstanceMessage {
    /**
     * An event from an adapter.
     *
     * @param event the event
     */
    record EventArrived(InstanceEvent event) implements InstanceMessage {}

    /**
     * A caller's request, authenticated and checked.
     *
     * @param request the request
     * @param fingerprint hash of its target and body
     * @param sink where the answer goes
     */
    record RequestArrived(CallerRequest request, String fingerprint, AnswerSink sink)
            implements InstanceMessage {}

    /**
     * The caller's connection has ended.
     *
     * @param request its request
     * @param sink where the answer went
     */
    record CallerDisconnected(RequestId request, AnswerSink sink) implements InstanceMessage {}

    /**
     * A slow caller has read most of what waited for it.
     *
     * @param request its request
     * @param sink where the answer goes
     */
    record CallerCaughtUp(RequestId request, AnswerSink sink) implements InstanceMessage {}

    /**
     * An operator submits a ticket.
     *
     * @param ticket the ticket
     * @param answer receives the answer
     */
    record TicketArrived(ChangeTicket ticket, CompletableFuture<TicketAnswer> answer)
            implements InstanceMessage {}

    /**
     * Somebody asks for the state of the instance.
     *
     * @param answer receives the state
     */
    record StatusQuery(CompletableFuture<InstanceStatus> answer) implements InstanceMessage {}

    /**
     * Somebody asks for the state of an earlier request.
     *
     * @param request the request
     * @param answer receives the state; empty where it is not known here
     */
    record RequestQuery(RequestId request, CompletableFuture<Optional<RequestRecord>> answer)
            implements InstanceMessage {}

    /**
     * Somebody asks for the decisions about a request.
     *
     * @param request the request
     * @param answer receives the decisions, oldest first
     */
    record DecisionsQuery(String request, CompletableFuture<List<Decision>> answer)
            implements InstanceMessage {}

    /** A wake-up that the core asked for is due. */
    record WakeUpDue() implements InstanceMessage {}

    /**
     * A planned stop begins.
     *
     * @param finished completes once everything in flight has ended
     */
    record StopRequested(CompletableFuture<Void> finished) implements InstanceMessage {}

    /** The actor is to end at once. */
    record CloseRequested() implements InstanceMessage {}
}
