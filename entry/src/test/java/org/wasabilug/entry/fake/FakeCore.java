package org.wasabilug.entry.fake;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.error.ErrorCode;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.Decision;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.internal.instance.DecisionCore;
import org.wasabilug.internal.instance.InstanceStatus;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.RunState;
import org.wasabilug.port.VersionedObject;

/** Runs the stages of a request one after the other at one endpoint; accepts every ticket. */
public final class FakeCore implements DecisionCore {
    private final Map<RequestId, CallerRequest> mRequests = new HashMap<>();
    private Configuration mConfiguration;
    private long mSequence;
    private boolean mStopping;

    /**
     * Creates the core.
     *
     * @param configuration configuration in force at first
     */
    public FakeCore(Configuration configuration) {
        mConfiguration = configuration;
    }

    @Override
    public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        return switch (event) {
            case InstanceEvent.RequestSubmitted submitted -> submit(submitted.request());
            case InstanceEvent.ChunkArrived chunk ->
                    List.of(
                            new InstanceAction.SendToCaller(
                                    chunk.attempt().request(),
                                    chunk.attempt().stage(),
                                    chunk.text()));
            case InstanceEvent.StageFinished finished -> next(finished.attempt());
            case InstanceEvent.CallerDisconnected left -> leave(left.request());
            case InstanceEvent.TicketSubmitted submitted -> accept(submitted);
            case InstanceEvent.StopRequested stop -> stop();
            default -> List.of();
        };
    }

    private List<InstanceAction> submit(CallerRequest request) {
        if (mStopping) {
            return List.of(
                    new InstanceAction.RefuseRequest(
                            request.id(),
                            new Refusal(
                                    ErrorCode.STOPPING,
                                    "The instance is stopping.",
                                    RunState.NOT_RUN,
                                    Optional.empty())));
        }
        mRequests.put(request.id(), request);
        return List.of(dispatch(request, 0), decision(request));
    }

    private static InstanceAction decision(CallerRequest request) {
        return new InstanceAction.LogDecision(
                new Decision(
                        "route",
                        request.id().value(),
                        request.workspace().value(),
                        request.pipeline().stages().getFirst().name().value(),
                        1,
                        "fake-1",
                        "only candidate",
                        request.deadline().toMillis()));
    }

    private static InstanceAction dispatch(CallerRequest request, int index) {
        return new InstanceAction.Dispatch(
                new StageCall(
                        new AttemptId(
                                request.id(), request.pipeline().stages().get(index).name(), 1),
                        new EndpointName("fake-1"),
                        URI.create("http://127.0.0.1:1"),
                        "/",
                        CallProtocol.STREAMED,
                        request.body(),
                        "",
                        request.deadline().toNanos(),
                        0,
                        true));
    }

    private List<InstanceAction> next(AttemptId done) {
        CallerRequest request = mRequests.get(done.request());
        List<String> names =
                request.pipeline().stages().stream().map(stage -> stage.name().value()).toList();
        int index = names.indexOf(done.stage().value()) + 1;
        if (index < names.size()) {
            return List.of(dispatch(request, index));
        }
        mRequests.remove(request.id());
        List<InstanceAction> actions = new ArrayList<>();
        actions.add(new InstanceAction.CompleteRequest(request.id()));
        if (mStopping && mRequests.isEmpty()) {
            actions.add(new InstanceAction.FinishStop());
        }
        return actions;
    }

    private List<InstanceAction> leave(RequestId id) {
        CallerRequest request = mRequests.remove(id);
        return request.pipeline().stages().stream()
                .<InstanceAction>map(
                        stage ->
                                new InstanceAction.CancelAttempt(
                                        new AttemptId(id, stage.name(), 1)))
                .toList();
    }

    private List<InstanceAction> accept(InstanceEvent.TicketSubmitted submitted) {
        ChangeTicket ticket = submitted.ticket();
        mConfiguration =
                mConfiguration.merge(
                        ticket.changes().stream()
                                .map(
                                        change ->
                                                new VersionedObject(
                                                        change.key(),
                                                        ticket.number(),
                                                        change.state()))
                                .toList());
        mSequence++;
        return List.of(
                new InstanceAction.AnswerTicket(
                        submitted.submission(), new TicketAnswer.Accepted(mSequence)));
    }

    private List<InstanceAction> stop() {
        mStopping = true;
        return mRequests.isEmpty() ? List.of(new InstanceAction.FinishStop()) : List.of();
    }

    @Override
    public Configuration configuration() {
        return mConfiguration;
    }

    @Override
    public InstanceStatus status(long nowNanos) {
        return new InstanceStatus(
                new InstanceName("entry-1"),
                new FailureDomainName("rennes"),
                !mStopping,
                mStopping,
                mSequence,
                0,
                true,
                1,
                true,
                mRequests.size(),
                0,
                List.of(),
                List.of());
    }
}
