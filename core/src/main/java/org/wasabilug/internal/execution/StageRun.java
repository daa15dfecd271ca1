package org.wasabilug.internal.execution;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.Stage;
import org.wasabilug.port.PrefixHashes;

/** Execution state of one stage of a request. */
final class StageRun {
    private static final long NONE = 0;

    private final Stage mStage;
    private final Pool mPool;
    private final ResultAssembler mResult = new ResultAssembler();
    private final Map<Long, LiveAttempt> mLive = new HashMap<>();
    private final Set<EndpointName> mFailedAt = new HashSet<>();
    private StageStatus mStatus = StageStatus.BLOCKED;
    private boolean mAttempted;
    private long mSelectedAttempt = NONE;
    private int mFailedAttempts;
    private int mPossiblyReceived;
    private long mFirstDispatchNanos;
    private boolean mClaimed;
    private String mInput;
    private List<Long> mPrefixHashes = List.of();

    StageRun(Stage stage, Pool pool) {
        mStage = stage;
        mPool = pool;
    }

    Stage stage() {
        return mStage;
    }

    Pool pool() {
        return mPool;
    }

    /** Returns whether both the pipeline and the pool declare the stage repeatable. */
    boolean isRepeatable() {
        return mStage.repeatable() && mPool.repeatable();
    }

    /** Sets the input, which is the same for all attempts. */
    void setInput(String input) {
        mInput = input;
        mPrefixHashes = PrefixHashes.of(input);
    }

    String input() {
        return mInput;
    }

    List<Long> prefixHashes() {
        return mPrefixHashes;
    }

    ResultAssembler result() {
        return mResult;
    }

    StageStatus status() {
        return mStatus;
    }

    void moveTo(StageStatus status) {
        mStatus = status;
    }

    boolean isDone() {
        return mStatus == StageStatus.DONE;
    }

    boolean isClaimed() {
        return mClaimed;
    }

    void setClaimed(boolean claimed) {
        mClaimed = claimed;
    }

    int failedAttempts() {
        return mFailedAttempts;
    }

    Set<EndpointName> failedAt() {
        return mFailedAt;
    }

    long firstDispatchNanos() {
        return mFirstDispatchNanos;
    }

    /** Returns whether an endpoint may have received an attempt. */
    boolean mayHaveRun() {
        return mPossiblyReceived > 0;
    }

    /** Records that an ended attempt certainly did not reach its endpoint. */
    void recordNotReceived() {
        mPossiblyReceived--;
    }

    void beginAttempt(AttemptId id, EndpointName endpoint, long nowNanos) {
        if (!mAttempted) {
            mAttempted = true;
            mFirstDispatchNanos = nowNanos;
        }
        mPossiblyReceived++;
        mLive.put(id.number(), new LiveAttempt(id, endpoint, nowNanos));
        mStatus = StageStatus.RUNNING;
    }

    boolean isLive(AttemptId attempt) {
        return mLive.containsKey(attempt.number());
    }

    List<LiveAttempt> liveAttempts() {
        return List.copyOf(mLive.values());
    }

    /**
     * Selects the attempt whose parts form the result, unless one is already selected.
     *
     * @return whether the given attempt is the selected one
     */
    boolean selectAttempt(AttemptId attempt) {
        if (mSelectedAttempt == NONE) {
            mSelectedAttempt = attempt.number();
        }
        return mSelectedAttempt == attempt.number();
    }

    boolean hasSelectedAttempt() {
        return mSelectedAttempt != NONE;
    }

    Optional<LiveAttempt> endAttempt(AttemptId attempt) {
        LiveAttempt ended = mLive.remove(attempt.number());
        if (mSelectedAttempt == attempt.number()) {
            mSelectedAttempt = NONE;
            mResult.resetAttempt();
        }
        return Optional.ofNullable(ended);
    }

    void recordFailure(EndpointName endpoint) {
        mFailedAttempts++;
        mFailedAt.add(endpoint);
    }
}
