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

/** State of one stage of a running request. */
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

    /** A stage is repeatable only where both the pipeline and the pool say so. */
    boolean isRepeatable() {
        return mStage.repeatable() && mPool.repeatable();
    }

    /** Keeps the input, which stays the same through all attempts. */
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

    /** True unless it is certain that no endpoint has received any attempt. */
    boolean mayHaveRun() {
        return mPossiblyReceived > 0;
    }

    /** Notes that an ended attempt has certainly not reached its endpoint. */
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

    /** Makes the attempt the only one whose parts count, unless another one already is. */
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
