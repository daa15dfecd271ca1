package org.wasabilug.internal.ledger;

import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;

/** State of one claim at this instance. */
final class LedgerEntry {
    /** What the entry is about to do. */
    enum Phase {
        /** The claim is on its way. */
        CLAIMING,
        /** The claim is held; the stage may be running. */
        GRANTED,
        /** The result is on its way. */
        RECORDING,
        /** The claim is being given back. */
        RELEASING
    }

    final RequestId mRequest;
    final StageName mStage;
    final RowKey mKey;
    long mDigest;
    String mToken;
    Phase mPhase = Phase.CLAIMING;

    /** Version of the row that the next write replaces; 0 where the row must not exist. */
    long mVersion;

    /** A caller waits for the outcome of the claim. */
    boolean mAwaited = true;

    /** A transaction carries this entry now. */
    boolean mInFlight;

    /** A transaction that carried the present write may still take effect. */
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
