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

/** An input of an entry instance. The time of an event is passed separately. */
public sealed interface InstanceEvent {
    /**
     * A caller submitted a request.
     *
     * @param request the request
     */
    record RequestSubmitted(CallerRequest request) implements InstanceEvent {}

    /**
     * A caller closed its connection before the answer was complete.
     *
     * @param request the request of the caller
     */
    record CallerDisconnected(RequestId request) implements InstanceEvent {}

    /**
     * A part of a stage result arrived.
     *
     * @param attempt attempt that produced it
     * @param offset offset of the part in the result, in characters
     * @param text text of the part
     */
    record ChunkArrived(AttemptId attempt, int offset, String text) implements InstanceEvent {}

    /**
     * An attempt has sent its complete result.
     *
     * @param attempt attempt that produced it
     * @param totalLength length of the complete result, in characters
     */
    record StageFinished(AttemptId attempt, int totalLength) implements InstanceEvent {}

    /**
     * An attempt failed.
     *
     * @param attempt the attempt
     * @param kind kind of failure
     * @param detail message of the adapter, for the log
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
     * The outcome of a transaction of the table service is known.
     *
     * @param operation correlation id of the request
     * @param outcome outcome of the transaction
     */
    record CommitAnswered(OperationId operation, CommitOutcome outcome) implements InstanceEvent {}

    /**
     * The outcome of a read of the table service is known.
     *
     * @param operation correlation id of the request
     * @param outcome outcome of the read
     */
    record ReadAnswered(OperationId operation, ReadOutcome outcome) implements InstanceEvent {}

    /**
     * The outcome of an object store request is known.
     *
     * @param operation correlation id of the request
     * @param outcome outcome of the request
     */
    record ObjectAnswered(OperationId operation, ObjectOutcome outcome) implements InstanceEvent {}

    /**
     * The outcome of a read of the instance list is known.
     *
     * @param operation correlation id of the request
     * @param outcome outcome of the read
     */
    record InstanceListAnswered(OperationId operation, ListOutcome outcome)
            implements InstanceEvent {}

    /**
     * The outcome of an order to an engine or of a read of its state is known.
     *
     * @param endpoint the engine
     * @param outcome outcome of the order or read
     */
    record OrderAnswered(EndpointName endpoint, OrderOutcome outcome) implements InstanceEvent {}

    /**
     * A message of another instance arrived.
     *
     * @param sender the sending instance
     * @param message the message
     */
    record PeerMessageReceived(InstanceName sender, PeerMessage message) implements InstanceEvent {}

    /**
     * An operator submitted a ticket.
     *
     * @param submission number of the submission, which the answer refers to
     * @param ticket the ticket
     */
    record TicketSubmitted(long submission, ChangeTicket ticket) implements InstanceEvent {}

    /** The time of a scheduled wake-up has been reached. */
    record TimerFired() implements InstanceEvent {}

    /** A planned stop was requested. */
    record StopRequested() implements InstanceEvent {}
}
