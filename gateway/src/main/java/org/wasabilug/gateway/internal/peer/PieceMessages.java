package org.wasabilug.gateway.internal.peer;

import org.wasabilug.internal.serving.PieceFailure;
import org.wasabilug.internal.serving.PieceId;
import org.wasabilug.internal.serving.PieceOutcome;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.Repetition;
import org.wasabilug.messages.gateway.PieceOrder;
import org.wasabilug.messages.gateway.PieceResult;

/** Converts pieces and outcomes to messages and back. */
final class PieceMessages {
    private PieceMessages() {}

    static PieceOrder order(PieceWork work, long nowMillis) {
        return PieceOrder.newBuilder()
                .setRequest(work.id().request())
                .setStage(work.id().stage())
                .setPiece(work.id().piece())
                .setService(work.service())
                .setKey(work.key())
                .addAllInputs(work.inputs())
                .setStartByMilliseconds(work.startByMillis() - nowMillis)
                .setRank(work.rank())
                .setDeadlineMilliseconds(work.deadlineMillis() - nowMillis)
                .setResultBytes(work.resultBytes())
                .setDomain(work.preferredDomain())
                .setDomainPatienceMilliseconds(work.localityWaitMillis())
                .setRepeat(work.repeat())
                .setRepeatPermitted(work.repetition() == Repetition.PERMITTED)
                .setWorkspace(work.workspace())
                .build();
    }

    static PieceWork work(PieceOrder order, long nowMillis) {
        return new PieceWork(
                new PieceId(order.getRequest(), order.getStage(), order.getPiece()),
                order.getService(),
                order.getKey(),
                order.getInputsList(),
                nowMillis + order.getStartByMilliseconds(),
                order.getRank(),
                nowMillis + order.getDeadlineMilliseconds(),
                order.getResultBytes(),
                order.getDomain(),
                order.getDomainPatienceMilliseconds(),
                repetition(order),
                order.getWorkspace());
    }

    /** An older sender of orders tells of no permit, so that the budget is asked once more. */
    private static Repetition repetition(PieceOrder order) {
        if (!order.getRepeat()) {
            return Repetition.NONE;
        }
        return order.getRepeatPermitted() ? Repetition.PERMITTED : Repetition.UNPERMITTED;
    }

    static PieceResult result(PieceId id, PieceOutcome outcome) {
        PieceResult.Builder result =
                PieceResult.newBuilder()
                        .setRequest(id.request())
                        .setStage(id.stage())
                        .setPiece(id.piece());
        switch (outcome) {
            case PieceOutcome.Produced produced -> result.setHandle(produced.handle());
            case PieceOutcome.Failed failed -> result.setFailure(failed.reason().name());
        }
        return result.build();
    }

    static PieceId id(PieceResult result) {
        return new PieceId(result.getRequest(), result.getStage(), result.getPiece());
    }

    static PieceOutcome outcome(PieceResult result) {
        return result.getHandle().isEmpty()
                ? new PieceOutcome.Failed(PieceFailure.valueOf(result.getFailure()))
                : new PieceOutcome.Produced(result.getHandle());
    }
}
