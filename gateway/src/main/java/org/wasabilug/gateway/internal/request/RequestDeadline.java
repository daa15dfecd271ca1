package org.wasabilug.gateway.internal.request;

import java.util.Optional;
import org.wasabilug.gateway.internal.ConfigurationInForce;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.caller.CallerExchange;
import org.wasabilug.internal.serving.RouteTable;
import org.wasabilug.serving.Route;

/**
 * Determines when a request under way ends: at its caller's deadline, or at the timeout of its
 * route, whichever comes first.
 *
 * <p>If a new configuration raises the timeout, the request gets the additional time. If it lowers
 * the timeout, the request keeps the time that it had.
 */
final class RequestDeadline {
    private final GatewayState mState;
    private final CallerExchange mExchange;
    private final Optional<Long> mCallerMillis;
    private ConfigurationInForce mLastSeen;
    private long mTimeoutMillis;

    /**
     * Creates the deadline of a request that has just arrived.
     *
     * @param route route of the request
     * @param callerMillis how long the caller waits, counted from the arrival; empty if unknown
     */
    RequestDeadline(
            GatewayState state, CallerExchange exchange, Route route, Optional<Long> callerMillis) {
        mState = state;
        mExchange = exchange;
        mCallerMillis = callerMillis;
        mLastSeen = state.configurationInForce();
        mTimeoutMillis = route.timeoutMillis();
    }

    /** Returns the time of the monotonic clock at which the request ends, in milliseconds. */
    long millis() {
        long timeoutMillis = longestTimeoutMillis();
        return mExchange.receivedMillis()
                + mCallerMillis
                        .map(caller -> Math.min(caller, timeoutMillis))
                        .orElse(timeoutMillis);
    }

    /** Returns what ends the request, for the reader of a log or a response. */
    String name() {
        return mCallerMillis.filter(caller -> caller <= longestTimeoutMillis()).isPresent()
                ? "the deadline of its caller"
                : "the timeout of its route";
    }

    /**
     * Returns how long an endpoint may work on the request, in milliseconds: until the caller's
     * deadline, as the timeout may still be raised.
     */
    long millisForEndpoint() {
        long endMillis = mCallerMillis.map(this::afterArrival).orElseGet(this::millis);
        return Math.max(1, endMillis - mState.nowMillis());
    }

    private long afterArrival(long millis) {
        return mExchange.receivedMillis() + millis;
    }

    /** Returns the longest timeout of the route that was in force since the request arrived. */
    private long longestTimeoutMillis() {
        while (mLastSeen.next().isPresent()) {
            mLastSeen = mLastSeen.next().get();
            long inForceMillis =
                    mLastSeen.routes().flatMap(this::route).map(Route::timeoutMillis).orElse(0L);
            mTimeoutMillis = Math.max(mTimeoutMillis, inForceMillis);
        }
        return mTimeoutMillis;
    }

    private Optional<Route> route(RouteTable routes) {
        return routes.find(mExchange.head().headers().get("Host", ""), mExchange.head().uri());
    }
}
