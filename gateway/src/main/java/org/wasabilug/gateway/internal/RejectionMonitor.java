package org.wasabilug.gateway.internal;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.BrittleServices;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.FleetView;
import org.wasabilug.internal.serving.RejectionControl;

/** Observes which endpoints announce that they tolerate few rejections, and their rejections. */
public final class RejectionMonitor {
    private static final long VIEW_VALID_MILLIS = 100;

    /** Time for which sends of an earlier process of this instance may count. */
    private static final long LIMIT_WINDOW_MILLIS = 1_100;

    private final BrittleServices mServices = new BrittleServices();
    private final GatewayState mState;
    private final ShareStart mShareStart;
    private Supplier<Collection<String>> mHeardPeers = List::of;
    private RejectionListener mListener = (endpoint, limit) -> {};
    private FleetView mView;
    private long mViewMillis;

    /** Receives the rejections that this instance got. */
    public interface RejectionListener {
        /**
         * Called when a brittle endpoint rejected a request for want of room.
         *
         * @param endpoint the endpoint
         * @param limit rejections within a second that it tolerates
         */
        void rejected(EndpointState endpoint, int limit);
    }

    RejectionMonitor(GatewayState state) {
        mState = state;
        mShareStart = new ShareStart(state.nowMillis(), LIMIT_WINDOW_MILLIS);
    }

    /**
     * Called when the instances that share the limits are known.
     *
     * @param startedBefore whether an earlier process of this instance may have used its share
     */
    public void registered(boolean startedBefore) {
        mShareStart.registered(startedBefore, mState.nowMillis());
    }

    /** Returns the services whose endpoints tolerate few rejections. */
    public BrittleServices services() {
        return mServices;
    }

    /**
     * Sets the source of the names of the peers that reports of rejections reach.
     *
     * @param heardPeers returns the names
     */
    public void heardPeers(Supplier<Collection<String>> heardPeers) {
        mHeardPeers = heardPeers;
    }

    /**
     * Sets the listener for rejections that this instance got.
     *
     * @param listener the listener
     */
    public void onRejection(RejectionListener listener) {
        mListener = listener;
    }

    /** Returns this instance and the others that share the limits of rejections. */
    public FleetView fleet() {
        long now = mState.nowMillis();
        if (mView == null || now - mViewMillis >= VIEW_VALID_MILLIS) {
            mView = view(now);
            mViewMillis = now;
        }
        return mView;
    }

    private FleetView view(long now) {
        String name = mState.settings().name();
        if (!mShareStart.isFleetKnown()) {
            return FleetView.ofUnknownFleet(name, mHeardPeers.get());
        }
        FleetView known = FleetView.of(name, mState.instanceNames(), mHeardPeers.get());
        return now >= mShareStart.fromMillis() ? known : known.withSmallestShares();
    }

    /**
     * Records the head of an endpoint's response.
     *
     * @param endpoint the endpoint
     * @param head the head
     */
    public void recordResponse(EndpointState endpoint, HttpResponse head) {
        String service = endpoint.registration().service();
        long now = mState.nowMillis();
        Optional<Integer> announced = announcedLimit(head);
        if (mServices.recordAnswer(service, announced, now)) {
            logBrittle(service, announced.orElseThrow(), mState.settings().name());
        }
        if (isRejection(head)) {
            mServices
                    .rejectionsPerSecond(service, now)
                    .ifPresent(limit -> recordRejection(endpoint, limit, now));
        }
    }

    /**
     * Records that an endpoint had room for a request.
     *
     * @param endpoint the endpoint
     * @param load load of the endpoint right after the request was sent
     */
    public void recordAccepted(EndpointState endpoint, RejectionControl.Load load) {
        long now = mState.nowMillis();
        if (mServices.rejectionsPerSecond(endpoint.registration().service(), now).isPresent()) {
            endpoint.rejectionControl().recordAccepted(load, now);
        }
    }

    private Optional<Integer> announcedLimit(HttpResponse head) {
        return Optional.ofNullable(head.headers().get(mState.protocol().headers().brittle()))
                .flatMap(value -> mState.protocol().counts(value).stream().findFirst());
    }

    private boolean isRejection(HttpResponse head) {
        return head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                && mState.notExecuted(head);
    }

    private void recordRejection(EndpointState endpoint, int limit, long now) {
        endpoint.rejectionControl().recordRejection(limit, fleet(), now);
        logHold(endpoint, limit, mState.settings().name());
        mListener.rejected(endpoint, limit);
    }

    /**
     * Records that a peer received an announcement.
     *
     * @param peer name of the peer
     * @param service the service
     * @param limit rejections within a second that each endpoint tolerates
     */
    public void recordPeerReport(String peer, String service, int limit) {
        if (mServices.recordPeerReport(service, limit, mState.nowMillis())) {
            logBrittle(service, limit, peer);
        }
    }

    /**
     * Records that an endpoint rejected a request of a peer.
     *
     * @param peer name of the peer
     * @param endpoint name of the endpoint
     * @param limit rejections within a second that the endpoint tolerates
     */
    public void recordPeerRejection(String peer, String endpoint, int limit) {
        mState.directory()
                .find(endpoint)
                .ifPresent(
                        known -> {
                            known.rejectionControl()
                                    .recordPeerRejection(limit, fleet(), mState.nowMillis());
                            logHold(known, limit, peer);
                        });
    }

    private void logBrittle(String service, int limit, String instance) {
        mState.log()
                .process(
                        LogLine.of("service-brittle")
                                .with("service", service)
                                .with("limit", limit)
                                .with("instance", instance));
    }

    private void logHold(EndpointState endpoint, int limit, String instance) {
        long now = mState.nowMillis();
        mState.log()
                .request(
                        LogLine.of("sends-held-back")
                                .with("endpoint", endpoint.registration().name())
                                .with("limit", limit)
                                .with("instance", instance)
                                .with(
                                        "rejections",
                                        endpoint.rejectionControl().rejectionsInLastSecond(now))
                                .with(
                                        "stopped",
                                        endpoint.rejectionControl()
                                                .isStopped(limit, fleet(), now)));
    }
}
