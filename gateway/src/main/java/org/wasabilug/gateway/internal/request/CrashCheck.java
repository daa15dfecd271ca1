package org.wasabilug.gateway.internal.request;

import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Checks whether an endpoint has crashed whose response has just ended.
 *
 * <p>One that accepts no connections has, unless it is this instance that is cut off: then another
 * one that reaches the endpoints beside it can tell.
 */
final class CrashCheck {
    /** When a process ends, its port closes within this. */
    private static final long SETTLE_MILLIS = 40;

    private final GatewayState mState;
    private final EndpointRegistration mEndpoint;

    CrashCheck(GatewayState state, EndpointRegistration endpoint) {
        mState = state;
        mEndpoint = endpoint;
    }

    /** Checks soon, and runs the action if the endpoint has crashed. */
    void schedule(Runnable crashed) {
        mState.loop().schedule(() -> check(crashed), SETTLE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check(Runnable crashed) {
        mState.connections()
                .probe(
                        mEndpoint,
                        result -> {
                            if (result != ConnectionResult.OPENED) {
                                checkOthers(crashed);
                            }
                        });
    }

    /** An endpoint that can't be reached while others beside it can has crashed. */
    private void checkOthers(Runnable crashed) {
        mState.reachability()
                .checkOthers(
                        mEndpoint,
                        reached -> {
                            if (reached) {
                                crashed.run();
                            } else {
                                askWitness(crashed);
                            }
                        });
    }

    private void askWitness(Runnable crashed) {
        mState.connections()
                .askWitness(
                        mEndpoint,
                        result -> {
                            if (result.isPresent() && result.get() == ConnectionResult.OPENED) {
                                log("endpoint-reached-by-peer");
                            } else if (result.isEmpty() && mState.reachability().isCutOff()) {
                                log("endpoint-not-judged");
                            } else {
                                crashed.run();
                            }
                        });
    }

    private void log(String event) {
        mState.log().process(LogLine.of(event).with("endpoint", mEndpoint.name()));
    }
}
