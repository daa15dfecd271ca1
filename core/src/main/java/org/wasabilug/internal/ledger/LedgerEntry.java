package org.wasabilug.internal.ledger;

import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;

/** Local state of one claim. */
final class LedgerEntry {
    /** Phase of the claim, which determines its next write. */
    enum Phase {
        /** The claim is being written. */
        CLAIMING,
        /** The claim is held; the stage may be running. */
        GRANTED,
        /** The result is being written. */
        RECORDING,
        /** The claim is being released. */
        RELEASING
    }

    final RequestId mRequest;
    final StageName mStage;
    final RowKey mKey;
    long mDigest;
    String mToken;
    Phase mPhase = Phase.CLAIMING;

    /** Version of the row that the next write replaces; 0 if the row must not exist. */
    long mVersion;

    /** Whether a caller waits for the outcome of the claim. */
    boolean mAwaited = true;

    /** Whether an outstanding transaction contains this entry. */
    boolean mInFlight;

    /** Whether an earlier transaction with the current write may still take effect. */
    boolean mUncertain;

    long mClaimedNanos;
    long mQueuedNanos;
    String mResult;

    LedgerEntry(RequestId request, StageName stage, long digest, String token, long nowNanos) {
        mRequest = request;
        mStage = stage;
        mKey = ClaimRow.keyOf(request, stage);
        mDigest = digest;
        mToken = token;
        mClaimedNanos = nowNanos;
    }

    RowCondition condition() {
        return mVersion == 0
                ? new RowCondition.Absent(mKey)
                : new RowCondition.VersionIs(mKey, mVersion);
    }

    RowWrite write() {
        return new RowWrite.Put(mKey, RowJson.write(value()));
    }

    private ClaimRow value() {
        return switch (mPhase) {
            case CLAIMING, GRANTED -> new ClaimRow(mToken, mDigest, null);
            case RECORDING -> new ClaimRow(mToken, mDigest, mResult);
            case RELEASING -> new ClaimRow("", mDigest, null);
        };
    }

    int size() {
        return mPhase == Phase.RECORDING ? mResult.length() : 0;
    }
}
