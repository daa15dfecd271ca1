package org.wasabilug.internal.event;

import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.RequestId;
import org.wasabilug.port.CacheEvents;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.LoadReport;
import org.wasabilug.port.ObjectOutcome;
import org.wasabilug.port.PeerMessage;
import org.wasabilug.port.ReadOutcome;

/** What reaches an entry instance. Time comes beside each event. */
public sealed interface InstanceEvent {
    /**
     * A caller submits a request.
     *
     * @param request the request
     */
    record RequestSubmitted(CallerRequest request) implements InstanceEvent {}

    /**
     * A caller closed its connection before the answer was complete.
     *
     * @param request its request
     */
    record CallerDisconnected(RequestId request) implements InstanceEvent {}

    /**
     * Part of a stage result arrived.
     *
     * @param attempt attempt that made it
     * @param offset characters of the result before this part
     * @param text the part
     */
    record ChunkArrived(AttemptId attempt, int offset, String text) implements InstanceEvent {}

    /**
     * A stage result is complete.
     *
     * @param attempt attempt that made it
     * @param totalLength characters of the whole result
     */
    record StageFinished(AttemptId attempt, int totalLength) implements InstanceEvent {}

    /**
     * An attempt failed.
     *
     * @param attempt the attempt
     * @param kind how it failed
     * @param detail words of the adapter, for the log
     */
    record StageFailed(AttemptId attempt, FailureKind kind, String detail)
            implements InstanceEvent {}

    /**
     * A load report of an endpoint arrived.
     *
     * @param endpoint the endpoint
     * @param report the report
     */
    record LoadReported(EndpointName endpoint, LoadReport report) implements InstanceEvent {}

    /**
     * Prefix cache events of an endpoint arrived.
     *
     * @param endpoint the endpoint
     * @param events the events
     */
    record CacheEventsArrived(EndpointName endpoint, CacheEvents events) implements InstanceEvent {}

    /**
     * The table service answered a transaction.
     *
     * @param operation which
     * @param outcome the answer
     */
    record CommitAnswered(OperationId operation, CommitOutcome outcome) implements InstanceEvent {}

    /**
     * The table service answered a read.
     *
     * @param operation which
     * @param outcome the answer
     */
    record ReadAnswered(OperationId operation, ReadOutcome outcome) implements InstanceEvent {}

    /**
     * The object store answered.
     *
     * @param operation which
     * @param outcome the answer
     */
    record ObjectAnswered(OperationId operation, ObjectOutcome outcome) implements InstanceEvent {}

    /**
     * The instance list answered.
     *
     * @param operation which
     * @param outcome the answer
     */
    record InstanceListAnswered(OperationId operation, ListOutcome outcome)
            implements InstanceEvent {}

    /**
     * An engine answered an order or a read of its state.
     *
     * @param endpoint the engine
     * @param outcome the answer
     */
    record OrderAnswered(EndpointName endpoint, OrderOutcome outcome) implements InstanceEvent {}

    /**
     * A message of another instance arrived.
     *
     * @param sender who sent it
     * @param message the message
     */
    record PeerMessageReceived(InstanceName sender, PeerMessage message) implements InstanceEvent {}

    /**
     * An operator submits a ticket.
     *
     * @param submission number that the answer names
     * @param ticket the ticket
     */
    record TicketSubmitted(long submission, ChangeTicket ticket) implements InstanceEvent {}

    /** The time asked for with a wake-up has come. */
    record TimerFired() implements InstanceEvent {}

    /** A planned stop begins. */
    record StopRequested() implements InstanceEvent {}
}
