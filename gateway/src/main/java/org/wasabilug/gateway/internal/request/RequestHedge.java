package org.wasabilug.gateway.internal.request;

import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RetryReason;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.hedge.HedgeCandidate;
import org.wasabilug.internal.hedge.HedgeControl;
import org.wasabilug.internal.hedge.HedgeDecision;
import org.wasabilug.internal.hedge.HedgeDenial;
import org.wasabilug.serving.Route;

/**
 * Sends one request to a second endpoint if its first send takes longer than most of its route, and
 * records the time that the first send takes.
 *
 * <p>Only the first send is watched: what follows a failure is a retry.
 */
final class RequestHedge {
    private final RequestFlow mFlow;
    private final GatewayState mState;
    private ScheduledFuture<?> mCheck;
    private Attempt mFirst;
    private Attempt mHedge;
    private Optional<HedgeDenial> mDenial = Optional.empty();

    /** Whether the response has begun or the request has ended. */
    private boolean mDecided;

    private boolean mHedgeSettled;

    private RequestHedge(RequestFlow flow) {
        mFlow = flow;
        mState = flow.state();
    }

    /** Returns the hedge of a request; empty if the request can't be hedged. */
    static Optional<RequestHedge> of(RequestFlow flow) {
        Route route = flow.request().route();
        boolean possible =
                flow.state().hedging().enabled()
                        && route.idempotent()
                        && route.maximumAttempts() > 1
                        && flow.hedgeable();
        return possible ? Optional.of(new RequestHedge(flow)) : Optional.empty();
    }

    /** Called when an attempt has been sent. */
    void started(Attempt attempt) {
        if (mFlow.sender().sends() == 1) {
            mFirst = attempt;
            mState.hedging()
                    .delayMillis(mFlow.request().route().name(), mState.nowMillis())
                    .ifPresent(this::checkAfter);
        }
    }

    private void checkAfter(long millis) {
        mCheck = mState.loop().schedule(this::check, millis, TimeUnit.MILLISECONDS);
    }

    private void check() {
        if (mDecided || !mFlow.awaitsBeginning(mFirst)) {
            return;
        }
        long now = mState.nowMillis();
        switch (mState.hedging().decide(candidate(now), now)) {
            case HedgeDecision.Send() -> sendHedge(now);
            case HedgeDecision.Wait wait -> {
                mDenial = wait.reason();
                checkAfter(wait.millis());
            }
            case HedgeDecision.Denied denied -> mDenial = Optional.of(denied.reason());
        }
    }

    private HedgeCandidate candidate(long now) {
        return new HedgeCandidate(
                mFlow.request().route().name(),
                service(),
                now - mFirst.sentMillis(),
                mFirst.predictedMillis(),
                mFlow.request().deadline().millis() - now,
                () -> mFlow.sender().hedgeEndpoint(mFlow.inputLocation()));
    }

    private String service() {
        return mFlow.request().service().name();
    }

    private void sendHedge(long now) {
        Optional<Attempt> hedge = mFlow.sendHedge(RetryReason.HEDGE);
        if (hedge.isEmpty()) {
            mDenial = Optional.of(mFlow.sender().hedgeDenial());
            return;
        }
        mDenial = Optional.empty();
        mHedge = hedge.get();
        HedgeControl hedging = mState.hedging();
        hedging.recordHedge(service());
        mState.log()
                .request(
                        line("hedged")
                                .with("route", mFlow.request().route().name())
                                .with("after", now - mFirst.sentMillis()));
        if (mHedge.ended()) {
            settle("FAILED");
        }
    }

    /** Called when the response goes on with one attempt; the others are cancelled then. */
    void answered(Attempt winner) {
        if (mDecided) {
            return;
        }
        recordTime(winner);
        if (mHedge != null) {
            settle(winner == mHedge ? "WON" : "OVERTAKEN");
        }
        if (winner == mHedge && mHedge != null && mFlow.pending().contains(mFirst)) {
            mFirst.recordOvertaken();
        }
        decided();
    }

    /**
     * Records the time of the first send. One that is cancelled counts with the time until now;
     * without it the percentile would fall as more requests are hedged.
     */
    private void recordTime(Attempt winner) {
        boolean first = mFirst != null && mFlow.pending().contains(mFirst);
        if (first && winner.head().status().codeClass() == HttpStatusClass.SUCCESS) {
            long now = mState.nowMillis();
            mState.hedging()
                    .times()
                    .record(mFlow.request().route().name(), now - mFirst.sentMillis(), now);
        }
    }

    /** Called when an attempt's response is no longer waited for. */
    void dropped(Attempt attempt) {
        if (attempt == mHedge) {
            settle("FAILED");
        }
    }

    /** Called when the request has ended; may be called more than once. */
    void ended() {
        if (mHedge != null) {
            settle("REQUEST_ENDED");
        }
        decided();
    }

    private void decided() {
        if (!mDecided) {
            mDecided = true;
            if (mCheck != null) {
                // A task that stays scheduled would keep the ended request in memory.
                mCheck.cancel(false);
            }
            mDenial.ifPresent(this::countDenial);
        }
    }

    private void countDenial(HedgeDenial reason) {
        String name = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
        mState.log().count("hedge-denied");
        mState.log().count("hedge-denied-" + name);
    }

    private void settle(String result) {
        if (mHedgeSettled) {
            return;
        }
        mHedgeSettled = true;
        long millis = mState.nowMillis() - mHedge.sentMillis();
        mState.log()
                .request(
                        line(result.equals("WON") ? "hedge-won" : "hedge-lost")
                                .with("result", result)
                                .with("millis", millis));
    }

    /** Starts a log line that names the endpoints of the first send and of the hedge. */
    private LogLine line(String event) {
        return LogLine.of(event)
                .with("request", mFlow.request().id())
                .with("first", mFirst.endpoint().registration().name())
                .with("endpoint", mHedge.endpoint().registration().name());
    }
}
