package org.wasabilug.gateway.internal.peer;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.internal.serving.QueueWaits;
import org.wasabilug.messages.gateway.GatewayHeartbeat;

/** Writes the heartbeats of this instance. */
final class HeartbeatWriter {
    private final GatewayState mState;
    private final SharedLoads mSharedLoads;
    private final SharedResponseTimes mSharedTimes;
    private final BooleanSupplier mStopping;
    private final BooleanSupplier mStoreUnreachable;
    private final Supplier<Map<String, List<QueueWaits.Wait>>> mStageWaits;

    /**
     * Creates a writer.
     *
     * @param state state of this process
     * @param sharedLoads loads that the instances tell each other
     * @param stopping whether this instance is stopping
     * @param storeUnreachable whether the store does not respond to this instance
     * @param stageWaits predicted times of the pieces that this instance sends, by service
     */
    HeartbeatWriter(
            GatewayState state,
            SharedLoads sharedLoads,
            BooleanSupplier stopping,
            BooleanSupplier storeUnreachable,
            Supplier<Map<String, List<QueueWaits.Wait>>> stageWaits) {
        mState = state;
        mSharedLoads = sharedLoads;
        mSharedTimes = new SharedResponseTimes(state);
        mStopping = stopping;
        mStoreUnreachable = storeUnreachable;
        mStageWaits = stageWaits;
    }

    /** Returns what a new connection tells at once: the state of this instance. */
    GatewayHeartbeat greeting() {
        return state().build();
    }

    /** Returns the state of this instance, and what it has learned since the last heartbeat. */
    GatewayHeartbeat regular() {
        GatewayHeartbeat.Builder heartbeat = state();
        mSharedLoads.addPrompts(heartbeat);
        mSharedLoads.addStageWaits(heartbeat, mStageWaits.get());
        mSharedTimes.addLatencies(heartbeat);
        return heartbeat.build();
    }

    /**
     * Returns a heartbeat for one peer. It acknowledges only this peer's heartbeats, as the names
     * of all peers would make every message large.
     */
    static GatewayHeartbeat addressed(GatewayHeartbeat heartbeat, Peer peer, long nowMillis) {
        return peer.receivedRecently(nowMillis)
                ? heartbeat.toBuilder().addHeard(peer.name()).build()
                : heartbeat;
    }

    private GatewayHeartbeat.Builder state() {
        GatewayHeartbeat.Builder heartbeat =
                GatewayHeartbeat.newBuilder()
                        .setFailureDomain(mState.settings().failureDomain())
                        .setHost(mState.settings().peers().getHostString())
                        .setStopping(mStopping.getAsBoolean())
                        .setProcessorShare(mState.settings().processorShare())
                        .setRelaysConnections(true)
                        .addAllUnreachable(
                                PeerReachability.messages(mState.reachability().unreachable()))
                        .setStoreSilent(mStoreUnreachable.getAsBoolean());
        mState.configurationVersion().ifPresent(heartbeat::setConfigurationVersion);
        mSharedLoads.addLoads(heartbeat);
        mSharedLoads.addBrittleServices(heartbeat);
        mSharedLoads.addRollouts(heartbeat);
        EndpointObservations.add(mState, heartbeat);
        return heartbeat;
    }
}
