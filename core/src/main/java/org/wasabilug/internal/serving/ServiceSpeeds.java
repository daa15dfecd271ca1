package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.wasabilug.serving.StageCapacity;

/**
 * Speeds of the endpoints of all services.
 *
 * <p>The shared speed is used only for services whose endpoints state theirs. For every other
 * service the views hold what this instance observed itself.
 */
public final class ServiceSpeeds {
    /** Time without any statement after which a service no longer counts as stating its speed. */
    private static final long STATING_MILLIS = 60_000;

    private static final long USUAL_INTERVAL_MILLIS = 1_000;

    /** Part of a response's time that does not depend on the predicted work. */
    private static final double FIXED_MILLIS = 40;

    /** Shorter predictions consist mostly of time that does not depend on the endpoint's speed. */
    private static final double MIN_WORK_MILLIS = 10;

    /**
     * Greatest factor between a ratio and the usual one of the service. Machines of one service
     * differ by up to 2.7; a response that took longer waited for something else.
     */
    private static final double MAX_DIFFERENCE = 3;

    /** The request itself, and a few that arrived while it ran. */
    private static final int EXPECTED_ARRIVALS = 3;

    private final Map<String, Service> mServices = new HashMap<>();
    private long mViews;

    /** What is known of one service whose endpoints have stated their speed. */
    private static final class Service {
        private long mStatedMillis;
        private long mUsualMillis = Long.MIN_VALUE / 2;
        private double mUsualLog;
    }

    /**
     * Prediction for a request that is sent.
     *
     * @param workMillis predicted time at an endpoint of usual speed; 0 if there is no prediction
     * @param momentary factor that the endpoint had stated
     * @param requests number of requests known to be at the endpoint
     * @param sentMillis monotonic time of the send, in milliseconds
     */
    public record Prediction(double workMillis, double momentary, int requests, long sentMillis) {}

    /**
     * Returns whether the shared speed is used for a service.
     *
     * @param service name of the service
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean isShared(String service, long nowMillis) {
        Service known = mServices.get(service);
        return known != null && nowMillis - known.mStatedMillis < STATING_MILLIS;
    }

    /**
     * Returns the services for which the shared speed is used.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public Set<String> shared(long nowMillis) {
        Set<String> services = new HashSet<>(mServices.keySet());
        services.removeIf(service -> !isShared(service, nowMillis));
        return services;
    }

    /**
     * Records a load that an endpoint stated to this instance; one without a speed has no effect.
     *
     * @param endpoint the endpoint
     * @param load the load
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordStated(EndpointState endpoint, ServerLoad load, long nowMillis) {
        if (load.statesSpeed()) {
            endpoint.speed().recordStated(load, endpoint.load().running(), nowMillis);
            recordStating(endpoint, nowMillis);
        }
    }

    private void recordStating(EndpointState endpoint, long statedMillis) {
        Service service =
                mServices.computeIfAbsent(endpoint.registration().service(), name -> new Service());
        service.mStatedMillis = Math.max(service.mStatedMillis, statedMillis);
    }

    /**
     * Records what a peer reports of an endpoint.
     *
     * @param endpoint the endpoint
     * @param peer name of the peer
     * @param observation what the peer has learned
     * @param writtenMillis monotonic time of the report, in milliseconds
     * @return whether the report counts
     */
    public boolean recordReport(
            EndpointState endpoint,
            String peer,
            EndpointSpeed.Observation observation,
            long writtenMillis) {
        boolean counts =
                endpoint.speed()
                        .recordReport(peer, observation, endpoint.load().running(), writtenMillis);
        if (counts && observation.load().isPresent()) {
            recordStating(endpoint, Math.min(observation.statedMillis(), writtenMillis));
        }
        return counts;
    }

    /**
     * Returns what is predicted of a request that is sent now.
     *
     * @param endpoint the endpoint
     * @param workMillis predicted time at an endpoint of usual speed; 0 if there is no prediction
     * @param nowMillis current monotonic time, in milliseconds
     */
    public Prediction predict(EndpointState endpoint, double workMillis, long nowMillis) {
        return new Prediction(
                workMillis,
                endpoint.speed().momentary(nowMillis),
                endpoint.load().running() + endpoint.speed().unseenRequests(nowMillis),
                nowMillis);
    }

    /**
     * Records how long a response took, if its service states its speed and there was a prediction.
     * A response of an endpoint that turned out to have more requests than were known tells nothing
     * about its speed, as it may have waited for them.
     *
     * @param endpoint the endpoint
     * @param prediction what was predicted when the request was sent
     * @param elapsedMillis time from sending the request, in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordElapsed(
            EndpointState endpoint, Prediction prediction, double elapsedMillis, long nowMillis) {
        String service = endpoint.registration().service();
        if (!isShared(service, nowMillis)
                || prediction.workMillis() < MIN_WORK_MILLIS
                || hadUnknownRequests(endpoint, prediction)) {
            return;
        }
        double predicted = (prediction.workMillis() + FIXED_MILLIS) * prediction.momentary();
        double usual = Math.exp(mServices.get(service).mUsualLog);
        double ratio =
                Math.clamp(
                        elapsedMillis / predicted, usual / MAX_DIFFERENCE, usual * MAX_DIFFERENCE);
        endpoint.speed().recordRatio(ratio, nowMillis);
    }

    private static boolean hadUnknownRequests(EndpointState endpoint, Prediction prediction) {
        int requests =
                Math.max(
                        endpoint.load().running(),
                        endpoint.speed().requestsStatedSince(prediction.sentMillis()));
        return requests > prediction.requests() + EXPECTED_ARRIVALS;
    }

    /**
     * Returns the speeds of endpoints for one choice.
     *
     * @param instance name of this instance
     * @param endpoints endpoints of one service
     * @param nowMillis current monotonic time, in milliseconds
     */
    SpeedView view(String instance, List<EndpointState> endpoints, long nowMillis) {
        return view(instance, endpoints, endpoints, nowMillis);
    }

    /**
     * Returns what one choice between endpoints takes into account of their speeds.
     *
     * @param instance name of this instance
     * @param usable usable endpoints of the service, which decide what speed is usual; those that
     *     are left for a retry may all be slow
     * @param endpoints those of them that may be chosen
     * @param nowMillis current monotonic time, in milliseconds
     */
    SpeedView view(
            String instance,
            List<EndpointState> usable,
            List<EndpointState> endpoints,
            long nowMillis) {
        if (mServices.isEmpty() || endpoints.isEmpty()) {
            return new OwnSpeedView(nowMillis);
        }
        String name = endpoints.getFirst().registration().service();
        if (!isShared(name, nowMillis)) {
            return new OwnSpeedView(nowMillis);
        }
        Service service = mServices.get(name);
        updateUsual(service, usable, nowMillis);
        long seed = SharedSpeedView.seed(instance, nowMillis + mViews++);
        return new SharedSpeedView(service.mUsualLog, endpoints.size(), seed, nowMillis);
    }

    /** Every endpoint counts once, however much work it gets, as far as it was observed. */
    private static void updateUsual(
            Service service, List<EndpointState> endpoints, long nowMillis) {
        if (nowMillis - service.mUsualMillis < USUAL_INTERVAL_MILLIS) {
            return;
        }
        service.mUsualMillis = nowMillis;
        double sum = 0;
        double weight = 0;
        for (EndpointState endpoint : endpoints) {
            double confidence = endpoint.speed().confidence(nowMillis);
            sum += confidence * endpoint.speed().meanLog();
            weight += confidence;
        }
        service.mUsualLog = weight > 0 ? sum / weight : 0;
    }

    /**
     * Returns the expected time to the first event of a request at the engine chosen for it.
     *
     * @param chosen the choice
     * @param nowMillis current monotonic time, in milliseconds
     * @return milliseconds; empty if the service does not state its speed or there is no prediction
     */
    public OptionalDouble expectedMillis(Selection.Chosen chosen, long nowMillis) {
        EndpointState endpoint = chosen.endpoint();
        String service = endpoint.registration().service();
        if (chosen.workMillis() <= 0 || !isShared(service, nowMillis)) {
            return OptionalDouble.empty();
        }
        EndpointSpeed speed = endpoint.speed();
        double usualLog = mServices.get(service).mUsualLog;
        double ratio = Math.exp(usualLog) * speed.lasting(usualLog, nowMillis);
        return OptionalDouble.of(
                (chosen.workMillis() + FIXED_MILLIS) * ratio * speed.momentary(nowMillis));
    }

    /**
     * Returns the capacity of an endpoint of a stage, with the times of calls that the present
     * speed of the endpoints gives.
     *
     * @param configured the configured capacity
     * @param endpoints endpoints that accept work
     * @param nowMillis current monotonic time, in milliseconds
     * @return the configured capacity if the service does not state its speed
     */
    public StageCapacity atPresent(
            StageCapacity configured, List<EndpointState> endpoints, long nowMillis) {
        if (!(view("", endpoints, nowMillis) instanceof SharedSpeedView view)) {
            return configured;
        }
        double speeds = endpoints.stream().mapToDouble(each -> 1 / view.slowness(each)).sum();
        double slowness = endpoints.size() / speeds;
        return new StageCapacity(
                configured.parallelCalls(),
                configured.waitingCalls(),
                configured.piecesPerCall(),
                configured.callMillis() * slowness,
                configured.pieceMillis() * slowness,
                configured.resultMegabytes(),
                configured.resultLifetimeMillis());
    }
}
