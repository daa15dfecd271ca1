package org.wasabilug.gateway.internal.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RetryPermits;
import org.wasabilug.gateway.internal.RetryReason;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.hedge.HedgeCandidate;
import org.wasabilug.internal.hedge.HedgeControl;
import org.wasabilug.internal.hedge.HedgeDenial;
import org.wasabilug.internal.rollout.SendKind;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.RetryPermit;
import org.wasabilug.internal.serving.Selection;
import org.wasabilug.internal.serving.SelectionRequest;

/** Selects endpoints for the attempts of one request and counts the attempts. */
final class Sender {
    private static final int MAX_SENDS = 4;
    private static final InputLocation ANYWHERE = new InputLocation("", false);

    private final GatewayState mState;
    private final OutgoingHeaders mHeaders;
    private final RequestContext mRequest;
    private final CrashGuard mGuard;
    private final AttemptOwner mOwner;
    private final Set<String> mExcluded = new HashSet<>();
    private final List<Attempt> mAttempts = new ArrayList<>();
    private Optional<String> mSoftwareVersion = Optional.empty();

    /** Permits the next send if that is a retry. */
    private RetryPermit mPermit = RetryPermit.NONE;

    private int mSends;

    /** Sends that may have run; excludes those that certainly did not. */
    private int mPossibleRuns;

    private long mRetryAfterMillis;
    private String mUnavailableReason = "";

    /** Why {@link #sendHedge} sent nothing when it was last called. */
    private HedgeDenial mHedgeDenial = HedgeDenial.NO_ENDPOINT;

    Sender(GatewayState state, RequestContext request, CrashGuard guard, AttemptOwner owner) {
        mState = state;
        mHeaders = new OutgoingHeaders(state);
        mRequest = request;
        mGuard = guard;
        mOwner = owner;
    }

    /** Failure domain of a request's inputs, and whether they are large. */
    record InputLocation(String domain, boolean large) {}

    /**
     * Sends the request to the best endpoint.
     *
     * @return the attempt, or empty if no endpoint may receive it
     */
    Optional<Attempt> send(InputLocation inputs, Consumer<HttpHeaders> additions) {
        long now = mState.nowMillis();
        switch (selectToSend(inputs, now)) {
            case Selection.Unavailable unavailable -> {
                mUnavailableReason = unavailable.reason();
                mRetryAfterMillis = unavailable.retryAfterMillis();
                return Optional.empty();
            }
            case Selection.Chosen chosen -> {
                return Optional.of(send(chosen, additions, now));
            }
        }
    }

    /** Returns the endpoint that the request would currently be sent to. */
    Optional<EndpointState> preview(InputLocation inputs) {
        if (!(select(inputs, mState.nowMillis()) instanceof Selection.Chosen chosen)) {
            return Optional.empty();
        }
        mState.speedMonitor().recordPreview(mRequest.service().name(), mRequest.rank(), chosen);
        return Optional.of(chosen.endpoint());
    }

    /** Selects an endpoint, unless the request counts as a cause of crashes. */
    private Selection selectToSend(InputLocation inputs, long now) {
        Selection selection = select(inputs, now);
        return selection instanceof Selection.Unavailable || mGuard.maySend()
                ? selection
                : new Selection.Unavailable(CrashGuard.REASON, CrashGuard.RETRY_MILLIS);
    }

    private Selection select(InputLocation inputs, long now) {
        Selection selection = null;
        for (List<EndpointState> endpoints :
                mState.rollouts().preferences(mRequest.service().name(), registered(), kind())) {
            selection = mState.selector().choose(selectionRequest(inputs), endpoints, now);
            if (selection instanceof Selection.Chosen) {
                return selection;
            }
        }
        return selection;
    }

    /** A stream that is bound to a software version has been sent before. */
    private SendKind kind() {
        return mSends == 0 && mSoftwareVersion.isEmpty() ? SendKind.FIRST : SendKind.FURTHER;
    }

    private SelectionRequest selectionRequest(InputLocation inputs) {
        return new SelectionRequest(
                mRequest.service(),
                mExcluded,
                mSoftwareVersion,
                inputs.domain(),
                inputs.large(),
                mRequest.prompt(),
                mState.rejectionMonitor().fleet());
    }

    private List<EndpointState> usable() {
        String service = mRequest.service().name();
        return mState.rollouts().permitted(service, registered(), kind());
    }

    private List<EndpointState> registered() {
        return mState.usable(mRequest.service().name());
    }

    /** Sends to endpoints of one software version only from now on. */
    void restrictTo(String softwareVersion) {
        mSoftwareVersion = Optional.of(softwareVersion);
    }

    /** Returns whether there is an endpoint left that may receive the request, if not busy. */
    boolean hasEndpoint() {
        long now = mState.nowMillis();
        return usable().stream()
                .filter(selectionRequest(ANYWHERE)::allows)
                .anyMatch(each -> each.pause().maySend(now));
    }

    private Attempt send(Selection.Chosen chosen, Consumer<HttpHeaders> additions, long now) {
        EndpointState endpoint = chosen.endpoint();
        long remaining = mRequest.deadline().millis() - now;
        HttpHeaders headers = mHeaders.toEndpoint(mRequest, endpoint);
        additions.accept(headers);
        mPermit.use(now);
        if (mSends == 0) {
            mState.retryPermits().recordFirstAttempt(mRequest.service().name(), now);
            mState.hedging().recordFirstSend(mRequest.service().name());
            mState.rollouts().recordRequest(mRequest.service().name());
        }
        mSends++;
        mPossibleRuns++;
        mExcluded.add(endpoint.registration().name());
        mState.log()
                .request(
                        LogLine.of("routed")
                                .with("request", mRequest.id())
                                .with("route", mRequest.route().name())
                                .with("endpoint", endpoint.registration().name())
                                .with("software", endpoint.registration().softwareVersion())
                                .with("predicted", Math.round(chosen.costMillis()))
                                .with("running", endpoint.load().running())
                                .with("unread", endpoint.load().unreadTokens())
                                .with("send", mSends)
                                .with("remaining", remaining));
        Attempt attempt = new Attempt(mState, mRequest, mGuard, chosen, mOwner);
        mAttempts.add(attempt);
        attempt.send(headers);
        mRequest.service()
                .engine()
                .ifPresent(
                        engine ->
                                mState.promptSent(
                                        endpoint.registration().name(),
                                        mRequest.prompt().parts(),
                                        engine.tokens()));
        return attempt;
    }

    /** Returns how often the request was sent. */
    int sends() {
        return mSends;
    }

    /** Records that one of the sends certainly did not run. */
    void sendNotExecuted() {
        mPossibleRuns--;
    }

    /** Returns whether any attempt may have run. */
    boolean mayHaveRun() {
        return mPossibleRuns > 0;
    }

    /**
     * Reserves another send after one that reached an endpoint. There is none without an endpoint
     * to send to.
     */
    boolean tryReserveRetry() {
        return mayRetry() && tryReserve(RetryReason.FAILED_ATTEMPT);
    }

    /** Gives back the retry that was reserved and not sent, as the request has ended. */
    void end() {
        mPermit.giveBack();
    }

    private boolean mayRetry() {
        return mSends < MAX_SENDS
                && mPossibleRuns - runsCutOff() < Math.max(1, mRequest.route().maximumAttempts())
                && mState.nowMillis() < mRequest.deadline().millis()
                && hasEndpoint();
    }

    /** An endpoint that is cut off does not count for the maximum of attempts. */
    private long runsCutOff() {
        return mAttempts.stream().filter(Attempt::cutOff).count();
    }

    private boolean tryReserve(RetryReason reason) {
        RetryPermits permits = mState.retryPermits();
        String service = mRequest.service().name();
        Optional<RetryPermit> permit =
                reason == RetryReason.HEDGE
                        ? permits.tryReserveHedge(service, mRequest.id())
                        : permits.tryReserve(service, mRequest.id(), reason);
        permit.ifPresent(this::hold);
        return permit.isPresent();
    }

    private void hold(RetryPermit permit) {
        mPermit.giveBack();
        mPermit = permit;
    }

    /** Returns whether {@link #sendHedge} would find an endpoint now, if the budget allows it. */
    boolean canHedge(InputLocation inputs) {
        return mayRetry() && preview(inputs).isPresent();
    }

    /** Returns the endpoint that {@link #sendHedge} would send to now; empty if there is none. */
    Optional<HedgeCandidate.Other> hedgeEndpoint(InputLocation inputs) {
        if (mayRetry() && select(inputs, mState.nowMillis()) instanceof Selection.Chosen chosen) {
            boolean full = HedgeControl.full(chosen.endpoint(), usable(), mRequest.service());
            return Optional.of(new HedgeCandidate.Other(chosen.costMillis(), full));
        }
        return Optional.empty();
    }

    /**
     * Sends the request to another endpoint while an earlier send goes on.
     *
     * @param reason why, which decides how much of the budget may be used
     * @return the attempt, or empty if no endpoint may receive it now or the budget is used up
     */
    Optional<Attempt> sendHedge(
            InputLocation inputs, Consumer<HttpHeaders> additions, RetryReason reason) {
        long now = mState.nowMillis();
        if (!mayRetry() || !(select(inputs, now) instanceof Selection.Chosen chosen)) {
            return denyHedge(HedgeDenial.NO_ENDPOINT);
        }
        if (!mGuard.maySend()) {
            return denyHedge(HedgeDenial.CRASH_SUSPECT);
        }
        return tryReserve(reason)
                ? Optional.of(send(chosen, additions, now))
                : denyHedge(HedgeDenial.RETRY_BUDGET);
    }

    private Optional<Attempt> denyHedge(HedgeDenial denial) {
        mHedgeDenial = denial;
        return Optional.empty();
    }

    /** Returns why {@link #sendHedge} sent nothing when it was last called. */
    HedgeDenial hedgeDenial() {
        return mHedgeDenial;
    }

    /** Returns whether to send again after a send that reached no endpoint. */
    boolean mayTryAnotherEndpoint() {
        return mSends < MAX_SENDS && mState.nowMillis() < mRequest.deadline().millis();
    }

    String unavailableReason() {
        return mUnavailableReason;
    }

    /** Returns when a retry may succeed; not while all endpoints have asked for a pause. */
    long retryAfterMillis() {
        long now = mState.nowMillis();
        long pauseMillis =
                usable().stream()
                        .mapToLong(each -> each.pause().remainingMillis(now))
                        .min()
                        .orElse(0);
        return Math.max(mRetryAfterMillis, pauseMillis);
    }
}
