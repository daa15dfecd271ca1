package org.wasabilug.gateway.internal.stage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RetryReason;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.RetryPermit;

/**
 * Stages that run again and for which the retry budget was not asked yet. It is asked once all
 * pieces of a stage are submitted, for all or none, as some of them alone are of no use.
 */
final class RepeatedStages {
    private final GatewayState mState;
    private final Listener mListener;
    private final Map<StageOfRequest, List<PieceWork>> mUnpermitted = new LinkedHashMap<>();

    private record StageOfRequest(String request, int stage) {}

    /** Receives the answers of the retry budget. */
    interface Listener {
        /** Returns whether the result of a piece is still waited for. */
        boolean isOpen(PieceWork work);

        /** A piece may be sent; the receiver ends the permit. */
        void permitted(PieceWork work, RetryPermit permit);

        /** A piece may not be sent. */
        void denied(PieceWork work);
    }

    RepeatedStages(GatewayState state, Listener listener) {
        mState = state;
        mListener = listener;
    }

    void add(PieceWork work) {
        if (mUnpermitted.isEmpty()) {
            mState.loop().execute(this::permitStages);
        }
        mUnpermitted
                .computeIfAbsent(
                        new StageOfRequest(work.id().request(), work.id().stage()),
                        stage -> new ArrayList<>())
                .add(work);
    }

    private void permitStages() {
        List<List<PieceWork>> stages = new ArrayList<>(mUnpermitted.values());
        mUnpermitted.clear();
        stages.forEach(this::permitStage);
    }

    private void permitStage(List<PieceWork> pieces) {
        List<PieceWork> open = pieces.stream().filter(mListener::isOpen).toList();
        if (open.isEmpty()) {
            return;
        }
        PieceWork first = open.getFirst();
        List<RetryPermit> permits =
                mState.retryPermits()
                        .tryReserve(
                                first.service(),
                                first.id().request(),
                                RetryReason.STAGE_AGAIN,
                                open.size());
        if (permits.isEmpty()) {
            open.forEach(mListener::denied);
        }
        for (int index = 0; index < permits.size(); index++) {
            mListener.permitted(open.get(index), permits.get(index));
        }
    }
}
