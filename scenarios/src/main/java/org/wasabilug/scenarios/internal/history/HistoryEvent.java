package org.wasabilug.scenarios.internal.history;

import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/** An event in a run, as observed from outside the decision cores. */
public sealed interface HistoryEvent {
    /**
     * A caller submitted a request.
     *
     * @param submission number of the submission; one request may be submitted several times
     * @param request identity of the request
     * @param instance instance that received it
     * @param expectedAnswer the only correct complete answer
     * @param deadlineNanos virtual time by which the submission must end, in nanoseconds
     */
    record Submitted(
            long submission,
            RequestId request,
            InstanceName instance,
            String expectedAnswer,
            long deadlineNanos)
            implements HistoryEvent {}

    /**
     * A submission received its complete answer.
     *
     * @param submission number of the submission
     * @param request identity of the request
     * @param answer text that the caller received
     */
    record Answered(long submission, RequestId request, String answer) implements HistoryEvent {}

    /**
     * A submission was refused.
     *
     * @param submission number of the submission
     * @param request identity of the request
     * @param refusal error code, message and run state
     */
    record Refused(long submission, RequestId request, Refusal refusal) implements HistoryEvent {}

    /**
     * The connection of a submission broke because its instance died.
     *
     * @param submission number of the submission
     * @param request identity of the request
     */
    record ConnectionBroken(long submission, RequestId request) implements HistoryEvent {}

    /**
     * An endpoint accepted a stage call.
     *
     * @param endpoint the endpoint
     * @param instance instance that sent the call
     * @param request identity of the request
     * @param stage the stage
     * @param repeatable false if endpoints may receive the stage at most once per request
     * @param cold true if the endpoint is in cold start
     * @param inFlight calls in flight at the endpoint, including this one
     * @param coldLimit maximum calls in flight that the endpoint sustains while cold
     * @param content input that the caller sent
     * @param sentNanos virtual time at which the instance sent the call, in nanoseconds
     */
    record Received(
            EndpointName endpoint,
            InstanceName instance,
            RequestId request,
            StageName stage,
            boolean repeatable,
            boolean cold,
            int inFlight,
            int coldLimit,
            String content,
            long sentNanos)
            implements HistoryEvent {}

    /**
     * An endpoint completed a stage of a request.
     *
     * @param endpoint the endpoint
     * @param request identity of the request
     * @param stage the stage
     */
    record StageCompleted(EndpointName endpoint, RequestId request, StageName stage)
            implements HistoryEvent {}

    /**
     * An endpoint crashed.
     *
     * @param endpoint the endpoint
     * @param content input that caused the crash; empty if the cause was overload
     */
    record Crashed(EndpointName endpoint, String content) implements HistoryEvent {}

    /**
     * An endpoint entered cold start.
     *
     * @param endpoint the endpoint
     */
    record TurnedCold(EndpointName endpoint) implements HistoryEvent {}

    /**
     * The platform accepted a ticket.
     *
     * @param number number of the ticket
     */
    record TicketAccepted(long number) implements HistoryEvent {}

    /**
     * A ticket took a failure domain out of service or returned it to service.
     *
     * @param failureDomain the failure domain
     * @param out true if it was taken out of service, false if it was returned to service
     */
    record DomainStateChanged(FailureDomainName failureDomain, boolean out)
            implements HistoryEvent {}

    /**
     * The platform's instance list shows an endpoint as leaving.
     *
     * @param endpoint the endpoint
     */
    record ListedLeaving(EndpointName endpoint) implements HistoryEvent {}

    /**
     * An instance applied a change of a configuration object.
     *
     * @param instance the instance
     * @param incarnation number of its process incarnation
     * @param object the object
     * @param ticketNumber number of the ticket that is active after the change
     */
    record Applied(InstanceName instance, long incarnation, ObjectKey object, long ticketNumber)
            implements HistoryEvent {}

    /**
     * A process was killed.
     *
     * @param instance the instance
     */
    record Died(InstanceName instance) implements HistoryEvent {}

    /**
     * A planned stop began.
     *
     * @param instance the instance
     */
    record StopBegan(InstanceName instance) implements HistoryEvent {}

    /**
     * A planned stop ended.
     *
     * @param instance the instance
     * @param requestsCut submissions that had no answer at that time
     */
    record StopEnded(InstanceName instance, int requestsCut) implements HistoryEvent {}

    /**
     * Evidence of a cold start reached an instance: a load report, or a refused or lost connection.
     *
     * @param instance the instance
     * @param endpoint the endpoint
     */
    record EvidenceReached(InstanceName instance, EndpointName endpoint) implements HistoryEvent {}

    /**
     * An instance lost or regained its connection to the platform.
     *
     * @param instance the instance
     * @param cut true if no request to the platform succeeds
     */
    record PlatformCut(InstanceName instance, boolean cut) implements HistoryEvent {}

    /**
     * An instance was isolated from all sources of updates, or reconnected to them.
     *
     * @param instance the instance
     * @param isolated true if neither the platform nor a remote peer reaches it, or it is paused
     */
    record Isolated(InstanceName instance, boolean isolated) implements HistoryEvent {}

    /**
     * A fault was injected or repaired, or a ticket was not accepted.
     *
     * @param description text for the printed history
     */
    record Disturbance(String description) implements HistoryEvent {}
}
