package org.wasabilug.gateway.internal.stage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.internal.serving.EndpointState;

/** Keeps calls from endpoints that have just refused one; each further refusal doubles the time. */
final class EndpointBackoff {
    private static final long MIN_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 200;

    /** Much longer than a call takes, so that a refusal after the wait still doubles it. */
    private static final long FORGET_MILLIS = 10_000;

    private final Map<String, Backoff> mBackoffs = new HashMap<>();

    private record Backoff(long millis, long untilMillis) {}

    /** Records that an endpoint refused a call; those that were sent together count once. */
    void refused(String endpoint, long nowMillis) {
        mBackoffs.values().removeIf(each -> nowMillis - each.untilMillis() > FORGET_MILLIS);
        Backoff last = mBackoffs.getOrDefault(endpoint, new Backoff(0, nowMillis));
        if (nowMillis >= last.untilMillis()) {
            long millis = Math.clamp(2 * last.millis(), MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
            mBackoffs.put(endpoint, new Backoff(millis, nowMillis + millis));
        }
    }

    /** Records that an endpoint had room for a call. */
    void accepted(String endpoint) {
        mBackoffs.remove(endpoint);
    }

    /** Returns the endpoints that may be called now. */
    List<EndpointState> callable(List<EndpointState> endpoints, long nowMillis) {
        return endpoints.stream()
                .filter(endpoint -> mayCall(endpoint.registration().name(), nowMillis))
                .toList();
    }

    private boolean mayCall(String endpoint, long nowMillis) {
        Backoff last = mBackoffs.get(endpoint);
        return last == null || nowMillis >= last.untilMillis();
    }
}
