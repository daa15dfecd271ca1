package org.wasabilug.scenarios.internal.mutant;

import java.net.URI;
import java.util.List;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RunState;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.LoadReport;

/** Defects that each violate one invariant. */
final class Mutants {
    private static final long ATTEMPT_NUMBER_OFFSET = 1_000_000;

    private Mutants() {}

    /** Sends each chunk of a result to the caller twice. */
    static Mutant duplicatesResults() {
        return new Mutant() {
            @Override
            public List<InstanceAction> alterAction(InstanceAction action) {
                return action instanceof InstanceAction.SendToCaller
                        ? List.of(action, action)
                        : List.of(action);
            }
        };
    }

    /** Never completes a request. */
    static Mutant dropsCompletions() {
        return new Mutant() {
            @Override
            public List<InstanceAction> alterAction(InstanceAction action) {
                return action instanceof InstanceAction.CompleteRequest
                        ? List.of()
                        : List.of(action);
            }
        };
    }

    /** Treats every endpoint as warm, regardless of its load reports and failures. */
    static Mutant treatsColdAsWarm() {
        return new Mutant() {
            @Override
            public InstanceEvent alterEvent(InstanceEvent event) {
                return switch (event) {
                    case InstanceEvent.LoadReported reported ->
                            new InstanceEvent.LoadReported(
                                    reported.endpoint(), new LoadReport(1, false, 0, 0, 0));
                    case InstanceEvent.StageFailed failed ->
                            new InstanceEvent.StageFailed(
                                    failed.attempt(), FailureKind.REJECTED, failed.detail());
                    default -> event;
                };
            }
        };
    }

    /** Sends all calls of a pool to one endpoint, regardless of the state of its failure domain. */
    static Mutant routesTo(String pool, EndpointName endpoint, URI address) {
        return new Mutant() {
            @Override
            public List<InstanceAction> alterAction(InstanceAction action) {
                return action instanceof InstanceAction.Dispatch dispatch
                                && dispatch.call().endpoint().value().contains(pool)
                        ? List.of(
                                new InstanceAction.Dispatch(
                                        redirected(dispatch.call(), endpoint, address)))
                        : List.of(action);
            }
        };
    }

    private static StageCall redirected(StageCall call, EndpointName endpoint, URI address) {
        return copy(call, call.attempt(), endpoint, address);
    }

    private static StageCall copy(
            StageCall call, AttemptId attempt, EndpointName endpoint, URI address) {
        return new StageCall(
                attempt,
                endpoint,
                address,
                call.requestPath(),
                call.protocol(),
                call.input(),
                call.resumeText(),
                call.timeoutNanos(),
                call.priority(),
                call.repeatable());
    }

    /** Removes the leaving state from all entries of the instance list. */
    static Mutant ignoresLeaving() {
        return new Mutant() {
            @Override
            public InstanceEvent alterEvent(InstanceEvent event) {
                return event instanceof InstanceEvent.InstanceListAnswered answered
                                && answered.outcome() instanceof ListOutcome.Listed listed
                        ? new InstanceEvent.InstanceListAnswered(
                                answered.operation(),
                                new ListOutcome.Listed(withoutLeaving(listed)))
                        : event;
            }
        };
    }

    private static List<ListedInstance> withoutLeaving(ListOutcome.Listed listed) {
        return listed.instances().stream()
                .map(
                        each ->
                                new ListedInstance(
                                        each.name(),
                                        each.role(),
                                        each.failureDomain(),
                                        each.address(),
                                        false))
                .toList();
    }

    /** Reports every refused request as not run. */
    static Mutant refusesAsNotRun() {
        return new Mutant() {
            @Override
            public List<InstanceAction> alterAction(InstanceAction action) {
                return action instanceof InstanceAction.RefuseRequest refuse
                        ? List.of(
                                new InstanceAction.RefuseRequest(
                                        refuse.request(), notRun(refuse.refusal())))
                        : List.of(action);
            }
        };
    }

    private static Refusal notRun(Refusal refusal) {
        return new Refusal(
                refusal.code(), refusal.message(), RunState.NOT_RUN, refusal.retryAfter());
    }

    /** Dispatches each non-repeatable call twice. */
    static Mutant repeatsAtMostOnceStages() {
        return new Mutant() {
            @Override
            public List<InstanceAction> alterAction(InstanceAction action) {
                return action instanceof InstanceAction.Dispatch dispatch
                                && !dispatch.call().repeatable()
                        ? List.of(action, new InstanceAction.Dispatch(duplicateOf(dispatch.call())))
                        : List.of(action);
            }
        };
    }

    private static StageCall duplicateOf(StageCall call) {
        AttemptId attempt = call.attempt();
        return copy(
                call,
                new AttemptId(
                        attempt.request(),
                        attempt.stage(),
                        attempt.number() + ATTEMPT_NUMBER_OFFSET),
                call.endpoint(),
                call.address());
    }

    /** Ends the process as soon as a planned stop begins. */
    static Mutant stopsWithoutDraining() {
        return new Mutant() {
            @Override
            public List<InstanceAction> actionsAfter(InstanceEvent event) {
                return event instanceof InstanceEvent.StopRequested
                        ? List.of(new InstanceAction.FinishStop())
                        : List.of();
            }
        };
    }

    /** Reverts to the configuration before the last change after a number of reads. */
    static Mutant revertsConfiguration() {
        return new Mutant() {
            private static final int READS_BEFORE_REVERT = 50;

            private Configuration mPrevious = Configuration.empty();
            private Configuration mNewest = Configuration.empty();
            private int mReads;

            @Override
            public Configuration alterConfiguration(Configuration configuration) {
                if (configuration != mNewest) {
                    mPrevious = mNewest;
                    mNewest = configuration;
                    mReads = 0;
                }
                mReads++;
                return mReads > READS_BEFORE_REVERT ? mPrevious : mNewest;
            }
        };
    }

    /** Reports every stage failure as a rejection, so that no content is quarantined. */
    static Mutant hidesLostConnections() {
        return new Mutant() {
            @Override
            public InstanceEvent alterEvent(InstanceEvent event) {
                return event instanceof InstanceEvent.StageFailed failed
                        ? new InstanceEvent.StageFailed(
                                failed.attempt(), FailureKind.REJECTED, failed.detail())
                        : event;
            }
        };
    }
}
