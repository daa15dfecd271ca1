package org.wasabilug.internal.serving;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.wasabilug.serving.EngineCapacity;

/**
 * Chooses the endpoint with the shortest predicted time to the first event or response.
 *
 * <p>Prompts with the same shared part prefer the endpoint that all instances rank first for that
 * part, unless its load outweighs the time saved by its prompt cache.
 */
public final class EndpointSelector {
    private static final double PROMPT_TOKENS_PER_MILLISECOND = 25;
    private static final double FAILURE_PENALTY_MILLIS = 1_500;
    private static final double COLD_PENALTY_MILLIS = 300;
    private static final double REMOTE_INPUTS_PENALTY_MILLIS = 40;
    private static final double REMOTE_DOMAIN_PENALTY_MILLIS = 3;

    /**
     * Added for all engines except the one that all instances rank first for a shared part, so that
     * the first requests with that part go to the same engine.
     */
    private static final double AFFINITY_MISS_PENALTY_MILLIS = 25;

    private static final double FULL_ENGINE_PENALTY_MILLIS = 2_000;
    private static final double USABLE_MEMORY_SHARE = 0.85;
    private static final double RUNNING_REQUEST_MILLIS = 2;

    /**
     * Spreads the sends of instances with the same view over the endpoints of a brittle service.
     */
    private static final double BRITTLE_SPREAD_MILLIS = 200;

    private static final long NO_ENDPOINT_RETRY_MILLIS = 1_000;
    private static final long COLD_RETRY_MILLIS = 400;
    private static final long BRITTLE_RETRY_MILLIS = 400;
    private static final long MIN_PAUSE_RETRY_MILLIS = 50;
    private static final int PAUSE_SPREAD_MILLIS = 500;

    /** A warm endpoint may turn cold without notice, so its request rate is limited too. */
    private static final int WARM_RATE_FACTOR = 2;

    private final ColdLimits mColdLimits;
    private final BrittleServices mBrittleServices;
    private final PrefixCacheEstimator mPrefixCaches;
    private final ServiceSpeeds mSpeeds;

    /**
     * Creates a selector that knows no stated speeds.
     *
     * @param coldLimits rate limits for cold endpoints
     * @param brittleServices services whose endpoints tolerate few rejections
     * @param prefixes estimated contents of the engines' prefix caches
     */
    public EndpointSelector(
            ColdLimits coldLimits, BrittleServices brittleServices, PrefixCacheEstimator prefixes) {
        this(coldLimits, brittleServices, prefixes, new ServiceSpeeds());
    }

    /**
     * Creates a selector.
     *
     * @param coldLimits rate limits for cold endpoints
     * @param brittleServices services whose endpoints tolerate few rejections
     * @param prefixes estimated contents of the engines' prefix caches
     * @param speeds speeds of the endpoints
     */
    public EndpointSelector(
            ColdLimits coldLimits,
            BrittleServices brittleServices,
            PrefixCacheEstimator prefixes,
            ServiceSpeeds speeds) {
        mColdLimits = coldLimits;
        mBrittleServices = brittleServices;
        mPrefixCaches = prefixes;
        mSpeeds = speeds;
    }

    /**
     * Chooses an endpoint.
     *
     * @param request the request to run
     * @param usable endpoints of the service that may receive requests
     * @param nowMillis current monotonic time, in milliseconds
     * @return the selection
     */
    public Selection choose(SelectionRequest request, List<EndpointState> usable, long nowMillis) {
        List<EndpointState> allowed = usable.stream().filter(request::allows).toList();
        if (allowed.isEmpty()) {
            return new Selection.Unavailable("no-endpoint", NO_ENDPOINT_RETRY_MILLIS);
        }
        List<EndpointState> open =
                allowed.stream().filter(each -> each.pause().maySend(nowMillis)).toList();
        if (open.isEmpty()) {
            return new Selection.Unavailable(
                    "endpoints-paused", resumptionMillis(allowed, nowMillis));
        }
        List<EndpointState> admitted =
                open.stream().filter(each -> withinRate(each, request, nowMillis)).toList();
        if (admitted.isEmpty()) {
            return new Selection.Unavailable("cold-limit", COLD_RETRY_MILLIS);
        }
        List<EndpointState> withRoom = withoutHeldBack(admitted, request, nowMillis);
        if (withRoom.isEmpty()) {
            return new Selection.Unavailable("brittle-limit", BRITTLE_RETRY_MILLIS);
        }
        List<EndpointState> healthy =
                withRoom.stream().filter(each -> !each.health().isEjected(nowMillis)).toList();
        return cheapest(usable, healthy.isEmpty() ? withRoom : healthy, request, nowMillis);
    }

    /**
     * Returns in how many milliseconds the first endpoint takes requests again, and a little more,
     * so that callers do not return all at once.
     */
    private static long resumptionMillis(List<EndpointState> paused, long nowMillis) {
        EndpointState first =
                paused.stream()
                        .min(
                                Comparator.comparingLong(
                                        each -> each.pause().remainingMillis(nowMillis)))
                        .orElseThrow();
        int spread =
                Math.floorMod(
                        Hashing.murmur3_32_fixed().hashLong(nowMillis).asInt(),
                        PAUSE_SPREAD_MILLIS);
        return first.pause().remainingMillis(nowMillis) + MIN_PAUSE_RETRY_MILLIS + spread;
    }

    Selection cheapest(
            List<EndpointState> usable,
            List<EndpointState> endpoints,
            SelectionRequest request,
            long nowMillis) {
        EndpointState preferred = affinityOwner(endpoints, request.prompt());
        SpeedView speeds = speeds(request, usable, endpoints, nowMillis);
        ToDoubleFunction<EndpointState> cost =
                endpoint -> cost(endpoint, endpoint == preferred, request, speeds, nowMillis);
        EndpointState best = null;
        double bestCost = Double.MAX_VALUE;
        for (EndpointState endpoint : endpoints) {
            double each = cost.applyAsDouble(endpoint);
            if (each < bestCost) {
                best = endpoint;
                bestCost = each;
            }
        }
        double work = workMillis(best, request, speeds);
        return new Selection.Chosen(best, speeds.predictedMillis(best, bestCost, work), work);
    }

    /** Returns what a choice between endpoints takes into account of their speeds. */
    SpeedView speeds(
            SelectionRequest request,
            List<EndpointState> usable,
            List<EndpointState> endpoints,
            long nowMillis) {
        return mSpeeds.view(request.fleet().instance(), usable, endpoints, nowMillis);
    }

    /** Returns the predicted time at an engine of usual speed; 0 if it can't be predicted. */
    private double workMillis(EndpointState endpoint, SelectionRequest request, SpeedView speeds) {
        if (request.service().engine().isEmpty()) {
            return 0;
        }
        EngineCapacity capacity = request.service().engine().get();
        EndpointLoad load = endpoint.load();
        int running = load.running() + speeds.unseenRequests(endpoint);
        double needed = load.tokens() + request.prompt().load().tokens();
        if (running >= capacity.slots() || needed > USABLE_MEMORY_SHARE * capacity.tokens()) {
            return 0;
        }
        double tokens = load.unreadTokens() + uncachedTokens(endpoint, request.prompt());
        return tokens / PROMPT_TOKENS_PER_MILLISECOND + running * RUNNING_REQUEST_MILLIS;
    }

    private int uncachedTokens(EndpointState endpoint, PromptSize prompt) {
        int cached = mPrefixCaches.cachedTokens(endpoint.registration().name(), prompt.parts());
        return Math.max(0, prompt.promptTokens() - cached);
    }

    boolean withinRate(EndpointState endpoint, SelectionRequest request, long nowMillis) {
        double rate = request.service().coldRequestsPerSecond();
        if (rate <= 0) {
            return true;
        }
        FleetView fleet = request.fleet();
        boolean cold = endpoint.isCold(nowMillis);
        if (cold && !endpoint.isColdSender(fleet, mColdLimits.senders(rate))) {
            return false;
        }
        int share = mColdLimits.share(rate, fleet.instances());
        return endpoint.sendsInLastSecond(nowMillis) < (cold ? share : share * WARM_RATE_FACTOR);
    }

    /** Removes the brittle endpoints that must not get another request at the moment. */
    private List<EndpointState> withoutHeldBack(
            List<EndpointState> endpoints, SelectionRequest request, long nowMillis) {
        return mBrittleServices
                .rejectionsPerSecond(request.service().name(), nowMillis)
                .map(
                        limit ->
                                endpoints.stream()
                                        .filter(each -> maySend(each, limit, request, nowMillis))
                                        .toList())
                .orElse(endpoints);
    }

    private static boolean maySend(
            EndpointState endpoint, int limit, SelectionRequest request, long nowMillis) {
        RejectionControl.Load load = endpoint.loadAndSlots(request.service());
        return endpoint.rejectionControl().maySend(load, limit, request.fleet(), nowMillis);
    }

    double cost(
            EndpointState endpoint,
            boolean owner,
            SelectionRequest request,
            SpeedView speeds,
            long nowMillis) {
        double work =
                request.service().engine().isPresent()
                        ? engineMillis(endpoint, owner, request, speeds)
                        : callMillis(endpoint, speeds);
        double penalty = endpoint.health().failureShare() * FAILURE_PENALTY_MILLIS;
        if (endpoint.isCold(nowMillis)) {
            penalty += COLD_PENALTY_MILLIS;
        }
        if (!endpoint.registration().failureDomain().equals(request.domain())) {
            penalty +=
                    request.inputsInDomain()
                            ? REMOTE_INPUTS_PENALTY_MILLIS
                            : REMOTE_DOMAIN_PENALTY_MILLIS;
        }
        return work + penalty + spread(endpoint, request, nowMillis);
    }

    private double spread(EndpointState endpoint, SelectionRequest request, long nowMillis) {
        return mBrittleServices
                .rejectionsPerSecond(request.service().name(), nowMillis)
                .map(
                        limit ->
                                BRITTLE_SPREAD_MILLIS
                                        * endpoint.rejectionControl()
                                                .preference(request.fleet(), nowMillis))
                .orElse(0.0);
    }

    private double engineMillis(
            EndpointState endpoint, boolean owner, SelectionRequest request, SpeedView speeds) {
        EngineCapacity capacity = request.service().engine().orElseThrow();
        EndpointLoad load = endpoint.load();
        PromptSize prompt = request.prompt();
        int running = load.running() + speeds.unseenRequests(endpoint);
        int uncached = uncachedTokens(endpoint, prompt);
        double millis = (load.unreadTokens() + uncached) / PROMPT_TOKENS_PER_MILLISECOND;
        if (!owner) {
            millis += AFFINITY_MISS_PENALTY_MILLIS;
            millis += speeds.unseenSend(endpoint) * uncached / PROMPT_TOKENS_PER_MILLISECOND;
        }
        millis += running * RUNNING_REQUEST_MILLIS;
        double usableTokens = USABLE_MEMORY_SHARE * capacity.tokens();
        double needed = load.tokens() + prompt.load().tokens();
        if (needed > usableTokens) {
            millis += FULL_ENGINE_PENALTY_MILLIS * (needed - usableTokens) / usableTokens;
        }
        if (running >= capacity.slots()) {
            millis += FULL_ENGINE_PENALTY_MILLIS;
        }
        return millis * speeds.engineFactor(endpoint);
    }

    private static double callMillis(EndpointState endpoint, SpeedView speeds) {
        int slots = Math.max(1, endpoint.registration().slots());
        int running = endpoint.load().running() + speeds.unseenRequests(endpoint);
        double waiting = Math.max(0, running + 1 - slots) / (double) slots;
        double filling = running / (double) slots;
        double latency = endpoint.health().latencyMillis() * speeds.callFactor(endpoint);
        return latency * (1 + waiting) + filling;
    }

    static EndpointState affinityOwner(List<EndpointState> endpoints, PromptSize prompt) {
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
