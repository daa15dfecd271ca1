package org.wasabilug.gateway.internal.request;

import java.util.stream.Collectors;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.CrashVerdict;
import org.wasabilug.internal.serving.RequestFeatures;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Keeps one request from endpoints while it counts as a cause of crashes, and reports what its
 * attempts show.
 */
final class CrashGuard {
    static final String REASON = "this content crashes endpoints";
    static final long RETRY_MILLIS = 5_000;

    private final GatewayState mState;
    private final CrashSuspectRegistry mSuspects;
    private final RequestContext mRequest;
    private RequestFeatures mFeatures;

    /** Whether the request was chosen for a trial that it has not used. */
    private boolean mOnTrial;

    CrashGuard(GatewayState state, CrashSuspectRegistry suspects, RequestContext request) {
        mState = state;
        mSuspects = suspects;
        mRequest = request;
    }

    /** Returns whether the request may start; to be asked before its stages. */
    boolean mayBegin() {
        CrashVerdict verdict = judge();
        mOnTrial = verdict == CrashVerdict.TRIAL;
        return verdict != CrashVerdict.REFUSED;
    }

    /** Returns whether the request may be sent to an endpoint; to be asked before each send. */
    boolean maySend() {
        boolean trialUnused = mOnTrial;
        mOnTrial = false;
        return trialUnused || judge() != CrashVerdict.REFUSED;
    }

    private CrashVerdict judge() {
        if (mSuspects.isEmpty()) {
            return CrashVerdict.ALLOWED;
        }
        CrashVerdict verdict = mSuspects.judge(features(), mRequest.service().name());
        if (verdict != CrashVerdict.ALLOWED) {
            log(verdict);
        }
        return verdict;
    }

    private void log(CrashVerdict verdict) {
        String condemned =
                mSuspects.condemned(features()).stream()
                        .map(Long::toHexString)
                        .sorted()
                        .collect(Collectors.joining(" "));
        mState.log()
                .request(
                        LogLine.of("crash-verdict")
                                .with("request", mRequest.id())
                                .with("verdict", verdict.name())
                                .with("features", condemned));
    }

    /** Reports that an endpoint crashed while it began the answer. */
    void crashed(EndpointRegistration endpoint, long crashedMillis) {
        mSuspects.crashed(endpoint, features(), crashedMillis);
    }

    /** Reports that an answer went on past its beginning. */
    void answered() {
        mSuspects.answered(
                mSuspects.isEmpty() ? RequestFingerprints.withoutContent(mRequest) : features());
    }

    private RequestFeatures features() {
        if (mFeatures == null) {
            mFeatures = RequestFingerprints.of(mRequest);
        }
        return mFeatures;
    }
}
