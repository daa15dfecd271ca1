package org.wasabilug.gateway.internal.request;

import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.internal.serving.PieceDemand;
import org.wasabilug.internal.serving.RetrySpread;
import org.wasabilug.serving.ServiceSpecification;
import org.wasabilug.serving.StageCapacity;

/**
 * Decides on the pieces that a request states before anything is made for them: a few bytes may ask
 * for any number.
 */
final class PieceAdmission {
    private static final long RETRY_MILLIS = TimeUnit.SECONDS.toMillis(1);
    private static final String LIMIT = "pieces";

    private final GatewayState mState;

    PieceAdmission(GatewayState state) {
        mState = state;
    }

    /** What becomes of a request. */
    sealed interface Decision permits Admitted, Invalid, NotNow {}

    /** It may begin; the memory of its pieces is its own until its response ends. */
    record Admitted() implements Decision {}

    /** It can't be served at any time. */
    record Invalid(String reason) implements Decision {}

    /** It can't be served now. */
    record NotNow(String reason, long retryAfterMillis) implements Decision {}

    /** Decides on a request, and takes the memory for its pieces if it may begin. */
    Decision admit(RequestContext request) {
        PieceDemand demand = new PieceDemand(request.route().stages(), request.pieces());
        if (demand.pieceCount() == 0) {
            return new Admitted();
        }
        Decision decision = decide(request, demand);
        if (!(decision instanceof Admitted)) {
            mState.callerLimited(LIMIT);
        }
        return decision;
    }

    private Decision decide(RequestContext request, PieceDemand demand) {
        if (!demand.fitsHead(mState.callerLimits().headerBytes())) {
            return new Invalid("more pieces than one request can name the results of");
        }
        long remaining = request.deadline().millis() - mState.nowMillis();
        if (demand.leastMillis(this::supply) > remaining) {
            return notNow(request, "the pieces can't be produced before the deadline");
        }
        return request.exchange().takeMemory(demand.memoryBytes())
                ? new Admitted()
                : notNow(request, "no memory for the pieces");
    }

    private static Decision notNow(RequestContext request, String reason) {
        return new NotNow(reason, RetrySpread.millis(request.id(), RETRY_MILLIS));
    }

    private PieceDemand.Supply supply(String service) {
        StageCapacity capacity =
                mState.service(service)
                        .flatMap(ServiceSpecification::stage)
                        .orElse(StageCapacity.NONE);
        return new PieceDemand.Supply(capacity, mState.usable(service).size());
    }
}
