package org.wasabilug.gateway.internal;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.EndpointSpeed;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.Selection;
import org.wasabilug.internal.serving.ServerLoad;
import org.wasabilug.internal.serving.ServiceSpeeds;

/** Reads the load and speed that endpoints state, and keeps what peers report of them. */
public final class SpeedMonitor {
    /** Bounds the size of each heartbeat. */
    private static final int MAX_OBSERVATIONS = 64;

    /** An endpoint that garbles the header garbles it in every response. */
    private static final long UNREADABLE_INTERVAL_MILLIS = 10_000;

    private static final int MAX_LOGGED_LENGTH = 64;

    private final GatewayState mState;
    private final ServiceSpeeds mSpeeds = new ServiceSpeeds();
    private final Map<String, Long> mUnreadableMillis = new HashMap<>();
    private final Set<String> mShared = new HashSet<>();

    SpeedMonitor(GatewayState state) {
        mState = state;
    }

    /** Returns the speeds of the endpoints. */
    public ServiceSpeeds speeds() {
        return mSpeeds;
    }

    /**
     * Records the head of an endpoint's response. A header that can't be read changes nothing.
     *
     * @param endpoint the endpoint
     * @param head the head
     */
    void recordResponse(EndpointState endpoint, HttpResponse head) {
        String name = mState.protocol().headers().serverLoad();
        if (!head.headers().contains(name)) {
            return;
        }
        String value = String.join(",", head.headers().getAll(name));
        Optional<ServerLoad> load = mState.protocol().serverLoad(value);
        if (load.isPresent()) {
            mState.log().count("server-loads");
            mSpeeds.recordStated(endpoint, load.get(), mState.nowMillis());
            if (!mShared.contains(endpoint.registration().service())) {
                logChanges();
            }
        } else {
            logUnreadable(endpoint, value);
        }
    }

    private void logUnreadable(EndpointState endpoint, String value) {
        mState.log().count("server-loads-unreadable");
        long now = mState.nowMillis();
        mUnreadableMillis.values().removeIf(at -> now - at >= UNREADABLE_INTERVAL_MILLIS);
        String service = endpoint.registration().service();
        if (mUnreadableMillis.putIfAbsent(service, now) == null) {
            mState.log()
                    .request(
                            LogLine.of("server-load-unreadable")
                                    .with("endpoint", endpoint.registration().name())
                                    .with("service", service)
                                    .with("value", shortened(value)));
        }
    }

    private static String shortened(String value) {
        return value.substring(0, Math.min(value.length(), MAX_LOGGED_LENGTH));
    }

    /** An observation of an endpoint by this instance or a peer. */
    public record Observed(EndpointState endpoint, EndpointSpeed.Observation observation) {}

    /**
     * Returns what this instance has lately learned about endpoints whose services state their
     * speed, the newest first, as many as one heartbeat may hold.
     */
    public List<Observed> recentObservations() {
        logChanges();
        if (mShared.isEmpty()) {
            return List.of();
        }
        long now = mState.nowMillis();
        Comparator<EndpointState> newestFirst =
                Comparator.comparingLong((EndpointState each) -> each.speed().changedMillis())
                        .reversed();
        return mState.directory().all().stream()
                .filter(each -> mShared.contains(each.registration().service()))
                .filter(each -> each.speed().recentObservation(now).isPresent())
                .sorted(newestFirst)
                .limit(MAX_OBSERVATIONS)
                .map(each -> new Observed(each, each.speed().recentObservation(now).get()))
                .toList();
    }

    /**
     * Records what a peer reports.
     *
     * @param peer name of the peer
     * @param observed the observation
     * @param writtenMillis monotonic time of the report, in milliseconds
     */
    public void recordPeerReport(String peer, Observed observed, long writtenMillis) {
        boolean counts =
                mSpeeds.recordReport(
                        observed.endpoint(), peer, observed.observation(), writtenMillis);
        mState.log().count(counts ? "speed-reports" : "speed-reports-ignored");
    }

    /**
     * Records for which engine a request is meant, so that the latest start of its stages follows
     * from the engine's present load and speed.
     *
     * @param service service that is to run the request
     * @param rank priority class of the request; 0 is the most urgent
     * @param chosen the choice
     */
    public void recordPreview(String service, int rank, Selection.Chosen chosen) {
        long now = mState.nowMillis();
        mSpeeds.expectedMillis(chosen, now)
                .ifPresent(millis -> mState.stageTimes().recordReport(service, rank, millis, now));
    }

    /** Logs for which services the shared speed began or ceased to be used. */
    private void logChanges() {
        Set<String> shared = mSpeeds.shared(mState.nowMillis());
        if (!shared.equals(mShared)) {
            shared.stream()
                    .filter(each -> !mShared.contains(each))
                    .forEach(each -> log(each, true));
            mShared.stream()
                    .filter(each -> !shared.contains(each))
                    .forEach(each -> log(each, false));
            mShared.clear();
            mShared.addAll(shared);
        }
    }

    private void log(String service, boolean used) {
        mState.log()
                .process(LogLine.of("shared-speed").with("service", service).with("used", used));
    }
}
