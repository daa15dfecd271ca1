package org.wasabilug.internal.execution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;

/** Execution state of one request. */
final class RequestRun {
    private final CallerRequest mRequest;
    private final long mDeadlineNanos;
    private final long mFingerprint;
    private final Map<StageName, StageRun> mStages = new LinkedHashMap<>();
    private boolean mHasRun;
    private boolean mAnswered;
    private boolean mTrial;

    RequestRun(CallerRequest request, Configuration configuration, long nowNanos) {
        mRequest = request;
        mDeadlineNanos = nowNanos + request.deadline().toNanos();
        mFingerprint = ContentHashes.fingerprint(request);
        for (Stage stage : request.pipeline().stages()) {
            configuration
                    .pool(stage.pool())
                    .ifPresent(pool -> mStages.put(stage.name(), new StageRun(stage, pool)));
        }
    }

    CallerRequest request() {
        return mRequest;
    }

    RequestId id() {
        return mRequest.id();
    }

    long fingerprint() {
        return mFingerprint;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    long remainingNanos(long nowNanos) {
        return mDeadlineNanos - nowNanos;
    }

    boolean isKeyed() {
        return mRequest.idempotencyKey().isPresent();
    }

    /** Returns whether the configuration contains the pool of every stage. */
    boolean hasAllPools() {
        return mStages.size() == mRequest.pipeline().stages().size();
    }

    boolean hasAtMostOnceStage() {
        return mStages.values().stream().anyMatch(stage -> !stage.isRepeatable());
    }

    StageRun stage(StageName name) {
        return mStages.get(name);
    }

    Iterable<StageRun> stages() {
        return mStages.values();
    }

    Set<StageName> doneStages() {
        return mStages.values().stream()
                .filter(StageRun::isDone)
                .map(run -> run.stage().name())
                .collect(Collectors.toSet());
    }

    boolean isComplete() {
        return mStages.values().stream().allMatch(StageRun::isDone);
    }

    List<StageRun> readyStages() {
        List<StageRun> ready = new ArrayList<>();
        for (StageRun run : mStages.values()) {
            if (run.status() == StageStatus.BLOCKED && areInputsDone(run)) {
                ready.add(run);
            }
        }
        return ready;
    }

    private boolean areInputsDone(StageRun run) {
        return run.stage().after().stream().allMatch(name -> mStages.get(name).isDone());
    }

    /** Records evidence that a stage of this request has run. */
    void markExecuted() {
        mHasRun = true;
    }

    boolean mayHaveRun() {
        return mStages.values().stream().anyMatch(StageRun::mayHaveRun);
    }

    boolean hasRun() {
        return mHasRun;
    }

    /** Returns whether the request was admitted although it was expected to be late. */
    boolean isTrial() {
        return mTrial;
    }

    void markTrial() {
        mTrial = true;
    }

    /** Returns whether the caller has its answer or refusal; attempts may still be running. */
    boolean isAnswered() {
        return mAnswered;
    }

    void markAnswered() {
        mAnswered = true;
    }

    boolean hasLiveAttempts() {
        return mStages.values().stream().anyMatch(run -> !run.liveAttempts().isEmpty());
    }
}
