package org.wasabilug.gateway.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.endpoint.ContentRhythm;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Watches whether endpoints that leave have stopped listening while they still respond, as one does
 * that ends as planned. A process that is killed stops both at once.
 *
 * <p>Only endpoints whose responses in progress have no marked end are probed.
 */
public final class ListeningWatch {
    /** So many responses may soon be over, so that the next content is the last. */
    private static final int FEW_RESPONSES = 2;

    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final Map<EndpointState, Watched> mWatched = new HashMap<>();
    private final GatewayState mState;

    private static final class Watched {
        private int mResponses;
        private boolean mProbing;
        private long mProbedNanos;
        private Optional<Long> mRefusedNanos = Optional.empty();

        private boolean due() {
            boolean paused = System.nanoTime() - mProbedNanos >= PAUSE_NANOS;
            return !mProbing && mRefusedNanos.isEmpty() && (mResponses <= FEW_RESPONSES || paused);
        }
    }

    ListeningWatch(GatewayState state) {
        mState = state;
    }

    /**
     * Records that a response without a marked end has begun.
     *
     * @param endpoint the endpoint that responds
     */
    public void begun(EndpointState endpoint) {
        mWatched.computeIfAbsent(endpoint, each -> new Watched()).mResponses++;
    }

    /**
     * Records that nothing more is to be expected of such a response.
     *
     * @param endpoint the endpoint that responded
     */
    public void ended(EndpointState endpoint) {
        mWatched.computeIfPresent(
                endpoint, (each, watched) -> --watched.mResponses == 0 ? null : watched);
    }

    /**
     * Returns whether an endpoint wrote after it had stopped listening.
     *
     * @param endpoint an endpoint with a response in progress
     * @param rhythm when the content of that response arrived
     */
    public boolean wroteAfterClosingPort(EndpointState endpoint, ContentRhythm rhythm) {
        return Optional.ofNullable(mWatched.get(endpoint))
                .flatMap(watched -> watched.mRefusedNanos)
                .filter(rhythm::wroteAfter)
                .isPresent();
    }

    /** Probes the endpoints that leave; to be called as often as those with few responses are. */
    public void probe() {
        // A connection that fails at once may end responses, and so their watch.
        for (Map.Entry<EndpointState, Watched> each : List.copyOf(mWatched.entrySet())) {
            Watched watched = each.getValue();
            if (watched.due() && leaves(each.getKey())) {
                probe(each.getKey().registration(), watched);
            }
        }
    }

    /**
     * Returns whether an endpoint leaves. It may do so without a report; then its row is gone.
     *
     * @param endpoint an endpoint that was sent a request
     */
    public boolean leaves(EndpointState endpoint) {
        return endpoint.leaving()
                || mState.directory()
                        .find(endpoint.registration().name())
                        .filter(known -> known == endpoint)
                        .isEmpty();
    }

    private void probe(EndpointRegistration endpoint, Watched watched) {
        watched.mProbing = true;
        watched.mProbedNanos = System.nanoTime();
        if (mState.reachability().reaches(EndpointGroup.of(endpoint))) {
            mState.connections()
                    .probe(endpoint, result -> probed(endpoint, watched, Optional.of(result)));
        } else {
            mState.connections().askWitness(endpoint, result -> probed(endpoint, watched, result));
        }
    }

    private void probed(
            EndpointRegistration endpoint, Watched watched, Optional<ConnectionResult> result) {
        watched.mProbing = false;
        if (result.filter(ConnectionResult.REFUSED::equals).isPresent()) {
            watched.mRefusedNanos = Optional.of(System.nanoTime());
            mState.log()
                    .request(
                            LogLine.of("endpoint-stopped-listening")
                                    .with("endpoint", endpoint.name())
                                    .with("responses", watched.mResponses));
        }
    }
}
