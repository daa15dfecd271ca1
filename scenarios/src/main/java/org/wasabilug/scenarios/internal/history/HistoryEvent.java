package org.wasabilug.scenarios.internal.history;

import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/** One thing that happened, seen from outside the decision cores. */
public sealed interface HistoryEvent {
    /**
     * A caller submitted a request.
     *
     * @param submission number of the submission; one request may be submitted several times
     * @param request identity of the request
     * @param instance instance that got it
     * @param expectedAnswer the only right whole answer
     * @param deadlineNanos when the answer is due
     */
    record Submitted(
            long submission,
            RequestId request,
            InstanceName instance,
            String expectedAnswer,
            long deadlineNanos)
            implements HistoryEvent {}

    /**
     * A submission got its whole answer.
     *
     * @param submission number of the submission
     * @param request identity of the request
     * @param answer the text that the caller has
     */
    record Answered(long submission, RequestId request, String answer) implements HistoryEvent {}

    /**
     * A submission was refused.
     *
     * @param submission number of the submission
     * @param request identity of the request
     * @param refusal why
     */
    record Refused(long submission, RequestId request, Refusal refusal) implements HistoryEvent {}

    /**
     * The connection of a submission broke, since its instance died.
     *
     * @param submission number of the submission
     * @param request identity of the request
     */
    record CutOff(long submission, RequestId request) implements HistoryEvent {}

    /**
     * An endpoint received work.
     *
     * @param endpoint the endpoint
     * @param instance instance that sent it
     * @param request identity of the request
     * @param stage the stage
     * @param repeatable false where the work may be received at most once
     * @param cold true while the endpoint is in cold start
     * @param inFlight calls in flight there, this one included
     * @param coldLimit most calls that it bears while cold
     * @param content what the caller sent
     * @param sentNanos when the instance sent it
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
     * An endpoint finished a stage of a request.
     *
     * @param endpoint the endpoint
     * @param request identity of the request
     * @param stage the stage
     */
    record Worked(EndpointName endpoint, RequestId request, StageName stage)
            implements HistoryEvent {}

    /**
     * An endpoint crashed.
     *
     * @param endpoint the endpoint
     * @param content input that crashed it; empty where none did
     */
    record Crashed(EndpointName endpoint, String content) implements HistoryEvent {}

    /**
     * An endpoint turned cold.
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
     * An accepted ticket took a failure domain out.
     *
     * @param failureDomain the failure domain
     * @param out true where it was taken out, false where it was brought back
     */
    record DomainMoved(FailureDomainName failureDomain, boolean out) implements HistoryEvent {}

    /**
     * The platform's list shows an endpoint as leaving.
     *
     * @param endpoint the endpoint
     */
    record ListedLeaving(EndpointName endpoint) implements HistoryEvent {}

    /**
     * The state of an object in force at an instance changed.
     *
     * @param instance the instance
     * @param incarnation number of its process life
     * @param object the object
     * @param ticketNumber the ticket in force now
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
     * @param requestsCut submissions without an answer at that moment
     */
    record StopEnded(InstanceName instance, int requestsCut) implements HistoryEvent {}

    /**
     * Evidence of a cold start reached an instance: a report, or a connection refused or lost.
     *
     * @param instance the instance
     * @param endpoint the endpoint
     */
    record EvidenceReached(InstanceName instance, EndpointName endpoint) implements HistoryEvent {}

    /**
     * An instance lost the platform or reached it again.
     *
     * @param instance the instance
     * @param cut true where no request to the platform gets through
     */
    record PlatformCut(InstanceName instance, boolean cut) implements HistoryEvent {}

    /**
     * An instance was cut off from what brings it news, or joined to it again.
     *
     * @param instance the instance
     * @param isolated true where neither the platform nor a peer elsewhere reaches it, or it pauses
     */
    record Isolated(InstanceName instance, boolean isolated) implements HistoryEvent {}

    /**
     * An instance or link was cut off, healed, killed or started.
     *
     * @param what what happened, for a person
     */
    record Disturbance(String what) implements HistoryEvent {}
}
