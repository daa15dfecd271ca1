package org.wasabilug.internal.serving;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.wasabilug.serving.EngineCapacity;

/**
 * Chooses the endpoint with the least predicted time to a first event or an answer.
 *
 * <p>Prompts with the same shared parts go to the endpoint that all instances rank first for them,
 * unless its load outweighs what its prompt cache saves.
 */
public final class EndpointSelector {
    private static final double PROMPT_TOKENS_PER_MILLISECOND = 25;
    private static final double FAILURE_MILLIS = 1_500;
    private static final double COLD_MILLIS = 300;
    private static final double REMOTE_INPUTS_MILLIS = 40;
    private static final double REMOTE_DOMAIN_MILLIS = 3;

    /** Keeps first readers of a part at the engine that all instances choose. */
    private static final double AFFINITY_MILLIS = 25;

    private static final double FULL_MILLIS = 2_000;
    private static final double MEMORY_IN_USE_SHARE = 0.85;
    private static final double RUNNING_REQUEST_MILLIS = 2;
    private static final long NO_ENDPOINT_RETRY_MILLIS = 1_000;
    private static final long COLD_RETRY_MILLIS = 400;

    /** A warm endpoint may turn cold unannounced, so its rate is bounded too. */
    private static final int WARM_RATE_FACTOR = 2;

    private final ColdLimits mColdLimits;
    private final PrefixCacheEstimator mPrefixes;

    /**
     * Makes a selector.
     *
     * @param coldLimits limits of cold endpoints
     * @param prefixes what engines keep of prompts
     */
    public EndpointSelector(ColdLimits coldLimits, PrefixCacheEstimator prefixes) {
        mColdLimits = coldLimits;
        mPrefixes = prefixes;
    }

    /**
     * Chooses an endpoint.
     *
     * @param request what is to be run
     * @param usable endpoints of the service that may get requests
     * @param nowMillis now
     * @return the choice
     */
    public Selection choose(SelectionRequest request, List<EndpointState> usable, long nowMillis) {
        List<EndpointState> allowed =
                usable.stream()
                        .filter(each -> !request.excluded().contains(each.registration().name()))
                        .toList();
        if (allowed.isEmpty()) {
            return new Selection.Unavailable("no-endpoint", NO_ENDPOINT_RETRY_MILLIS);
        }
        List<EndpointState> admitted =
                allowed.stream().filter(each -> withinRate(each, request, nowMillis)).toList();
        if (admitted.isEmpty()) {
            return new Selection.Unavailable("cold-limit", COLD_RETRY_MILLIS);
        }
        List<EndpointState> healthy =
                admitted.stream().filter(each -> !each.health().isEjected(nowMillis)).toList();
        return cheapest(healthy.isEmpty() ? admitted : healthy, request, nowMillis);
    }

    private Selection cheapest(
            List<EndpointState> endpoints, SelectionRequest request, long nowMillis) {
        EndpointState preferred = affinityOwner(endpoints, request.prompt());
        ToDoubleFunction<EndpointState> cost =
                endpoint -> cost(endpoint, endpoint == preferred, request, nowMillis);
        EndpointState best = null;
        double bestCost = Double.MAX_VALUE;
        for (EndpointState endpoint : endpoints) {
            double each = cost.applyAsDouble(endpoint);
            if (each < bestCost) {
                best = endpoint;
                bestCost = each;
            }
        }
        return new Selection.Chosen(best, bestCost);
    }

    private boolean withinRate(EndpointState endpoint, SelectionRequest request, long nowMillis) {
        double rate = request.service().coldRequestsPerSecond();
        if (rate <= 0) {
            return true;
        }
        int share = mColdLimits.share(rate, request.instances());
        int limit = endpoint.isCold(nowMillis) ? share : share * WARM_RATE_FACTOR;
        return endpoint.sendsInLastSecond(nowMillis) < limit;
    }

    private double cost(
            EndpointState endpoint, boolean owner, SelectionRequest request, long nowMillis) {
        double work =
                request.service().engine().isPresent()
                        ? engineMillis(endpoint, owner, request, nowMillis)
                        : callMillis(endpoint);
        double penalty = endpoint.health().failureShare() * FAILURE_MILLIS;
        if (endpoint.isCold(nowMillis)) {
            penalty += COLD_MILLIS;
        }
        if (!endpoint.registration().failureDomain().equals(request.domain())) {
            penalty += request.inputsInDomain() ? REMOTE_INPUTS_MILLIS : REMOTE_DOMAIN_MILLIS;
        }
        return work + penalty;
    }

    private double engineMillis(
            EndpointState endpoint, boolean owner, SelectionRequest request, long nowMillis) {
        EngineCapacity capacity = request.service().engine().orElseThrow();
        EndpointLoad load = endpoint.load();
        PromptSize prompt = request.prompt();
        int kept = mPrefixes.cachedTokens(endpoint.registration().name(), prompt.parts());
        int uncached = Math.max(0, prompt.promptTokens() - kept);
        double millis = (load.unreadTokens() + uncached) / PROMPT_TOKENS_PER_MILLISECOND;
        millis += owner ? 0 : AFFINITY_MILLIS;
        millis += load.running() * RUNNING_REQUEST_MILLIS;
        double room = MEMORY_IN_USE_SHARE * capacity.tokens();
        double needed = load.tokens() + prompt.load().tokens();
        if (needed > room) {
            millis += FULL_MILLIS * (needed - room) / room;
        }
        if (load.running() >= capacity.slots()) {
            millis += FULL_MILLIS;
        }
        return millis * endpoint.health().slowness(nowMillis);
    }

    private static double callMillis(EndpointState endpoint) {
        int slots = Math.max(1, endpoint.registration().slots());
        int running = endpoint.load().running();
        double waiting = Math.max(0, running + 1 - slots) / (double) slots;
        double filling = running / (double) slots;
        return endpoint.health().latencyMillis() * (1 + waiting) + filling;
    }

    private static EndpointState affinityOwner(List<EndpointState> endpoints, PromptSize prompt) {
        if (prompt.affinityKey().isEmpty()) {
            return null;
        }
        EndpointState owner = null;
        long highest = Long.MIN_VALUE;
        for (EndpointState endpoint : endpoints) {
            long rank = rank(prompt.affinityKey(), endpoint.registration().name());
            if (owner == null || rank > highest) {
                owner = endpoint;
                highest = rank;
            }
        }
        return owner;
    }

    private static long rank(String key, String endpoint) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putChar('/')
                .putString(endpoint, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
