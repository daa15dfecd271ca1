package org.wasabilug.internal.execution;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/** The requests in flight at an instance and their timers. */
final class RequestTable {
    private final Map<RequestId, RequestRun> mRuns = new LinkedHashMap<>();
    private final TimerQueue mTimers = new TimerQueue();
    private long mLastAttempt;

    Optional<RequestRun> find(RequestId id) {
        return Optional.ofNullable(mRuns.get(id));
    }

    /** Returns the stage of a running attempt; empty if the attempt has ended. */
    Optional<StageRun> findLive(AttemptId attempt) {
        return find(attempt.request())
                .flatMap(run -> Optional.ofNullable(run.stage(attempt.stage())))
                .filter(stage -> stage.isLive(attempt));
    }

    Optional<StageRun> findStage(RequestId id, StageName stage) {
        return find(id).flatMap(run -> Optional.ofNullable(run.stage(stage)));
    }

    AttemptId nextAttempt(RequestRun run, StageRun stage) {
        mLastAttempt++;
        return new AttemptId(run.id(), stage.stage().name(), mLastAttempt);
    }

    void add(RequestRun run) {
        mRuns.put(run.id(), run);
    }

    void remove(RequestRun run) {
        mRuns.remove(run.id());
    }

    int size() {
        return mRuns.size();
    }

    boolean isEmpty() {
        return mRuns.isEmpty();
    }

    TimerQueue timers() {
        return mTimers;
    }
}
