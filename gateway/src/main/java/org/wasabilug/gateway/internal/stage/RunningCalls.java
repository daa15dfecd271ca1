package org.wasabilug.gateway.internal.stage;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.StageCall;
import org.wasabilug.serving.EndpointRegistration;

/** The calls with pieces that this instance has sent and that have not ended. */
final class RunningCalls {
    private final Map<StageCall, StageCallAttempt> mAttempts = new IdentityHashMap<>();

    void add(StageCallAttempt attempt) {
        mAttempts.put(attempt.call(), attempt);
    }

    void remove(StageCall call) {
        mAttempts.remove(call);
    }

    /** Returns the calls to endpoints of a group. */
    List<StageCallAttempt> inGroup(EndpointGroup group) {
        return mAttempts.values().stream()
                .filter(attempt -> EndpointGroup.of(registration(attempt)).equals(group))
                .toList();
    }

    private static EndpointRegistration registration(StageCallAttempt attempt) {
        return attempt.call().endpoint().registration();
    }

    /** Returns how many calls may bring the result of a piece. */
    long countWith(PieceWork piece) {
        return mAttempts.keySet().stream()
                .flatMap(call -> call.pieces().stream())
                .filter(piece::hasResultOf)
                .count();
    }

    /** Returns whether a call that is not overdue may bring the result of a piece. */
    boolean hasTimelyCallWith(PieceWork piece) {
        return mAttempts.values().stream()
                .filter(attempt -> !attempt.overdue())
                .flatMap(attempt -> attempt.call().pieces().stream())
                .anyMatch(piece::hasResultOf);
    }

    /** Returns the overdue calls to endpoints of a service. */
    List<StageCall> overdue(String service) {
        return mAttempts.values().stream()
                .filter(StageCallAttempt::overdue)
                .filter(attempt -> registration(attempt).service().equals(service))
                .map(StageCallAttempt::call)
                .toList();
    }

    /** Returns whether each of the endpoints has an overdue call. */
    boolean allOverdue(List<EndpointState> endpoints) {
        return endpoints.stream().allMatch(this::hasOverdueCall);
    }

    /** Returns the endpoints without an overdue call, or all of them if each has one. */
    List<EndpointState> withoutOverdueCall(List<EndpointState> endpoints) {
        List<EndpointState> others =
                endpoints.stream().filter(endpoint -> !hasOverdueCall(endpoint)).toList();
        return others.isEmpty() ? endpoints : others;
    }

    private boolean hasOverdueCall(EndpointState endpoint) {
        String name = endpoint.registration().name();
        return mAttempts.values().stream()
                .filter(StageCallAttempt::overdue)
                .anyMatch(attempt -> registration(attempt).name().equals(name));
    }
}
