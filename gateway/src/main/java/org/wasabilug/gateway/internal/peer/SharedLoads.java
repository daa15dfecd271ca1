package org.wasabilug.gateway.internal.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.internal.serving.EndpointLoad;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.QueueWaits;
import org.wasabilug.messages.gateway.BrittleService;
import org.wasabilug.messages.gateway.GatewayHeartbeat;
import org.wasabilug.messages.gateway.PromptRead;
import org.wasabilug.messages.gateway.SentLoad;
import org.wasabilug.messages.gateway.StageWait;
import org.wasabilug.serving.PromptPart;

/**
 * Observations that instances exchange in heartbeats: load sent, prompts read and predicted times
 * of stages.
 */
final class SharedLoads {
    private final GatewayState mState;
    private final SharedResponseTimes mResponseTimes;
    private final SharedRollouts mRollouts;

    /** Endpoints to which a peer has sent load, by the name of the peer. */
    private final Map<String, Set<String>> mLoadedEndpoints = new HashMap<>();

    SharedLoads(GatewayState state) {
        mState = state;
        mResponseTimes = new SharedResponseTimes(state);
        mRollouts = new SharedRollouts(state);
    }

    /** Adds the load that this instance puts on endpoints. */
    void addLoads(GatewayHeartbeat.Builder heartbeat) {
        for (EndpointState endpoint : mState.directory().all()) {
            EndpointLoad load = endpoint.localLoad();
            if (load.running() > 0) {
                heartbeat.addLoads(
                        SentLoad.newBuilder()
                                .setEndpoint(endpoint.registration().name())
                                .setRunning(load.running())
                                .setTokens(load.tokens())
                                .setUnreadTokens(load.unreadTokens()));
            }
        }
    }

    /** Adds what this instance has counted of rollouts. */
    void addRollouts(GatewayHeartbeat.Builder heartbeat) {
        mRollouts.add(heartbeat);
    }

    /** Adds the services whose endpoints have recently announced that they are brittle. */
    void addBrittleServices(GatewayHeartbeat.Builder heartbeat) {
        mState.rejectionMonitor()
                .services()
                .recentlyAnnounced(mState.nowMillis())
                .forEach(
                        (service, limit) ->
                                heartbeat.addBrittleServices(
                                        BrittleService.newBuilder()
                                                .setService(service)
                                                .setRejectionsPerSecond(limit)));
    }

    /** Adds the prompts that were sent since the last heartbeat. */
    void addPrompts(GatewayHeartbeat.Builder heartbeat) {
        mState.takeUnsentPrompts().forEach(prompt -> heartbeat.addPrompts(promptRead(prompt)));
    }

    /** Adds predicted times of the stages that this instance sends for, and applies them here. */
    void addStageWaits(
            GatewayHeartbeat.Builder heartbeat, Map<String, List<QueueWaits.Wait>> predictions) {
        predictions.forEach(
                (service, waits) ->
                        waits.forEach(wait -> heartbeat.addStageWaits(stageWait(service, wait))));
        heartbeat.getStageWaitsList().forEach(this::applyStageWait);
    }

    private static StageWait stageWait(String service, QueueWaits.Wait wait) {
        return StageWait.newBuilder()
                .setService(service)
                .setRank(wait.rank())
                .setMilliseconds(wait.millis())
                .build();
    }

    private void applyStageWait(StageWait wait) {
        mState.stageTimes()
                .recordReport(
                        wait.getService(),
                        wait.getRank(),
                        wait.getMilliseconds(),
                        mState.nowMillis());
    }

    /** Applies the observations of a peer, which it wrote at a time of the monotonic clock. */
    void apply(String sender, GatewayHeartbeat heartbeat, long writtenMillis) {
        applyLoads(sender, heartbeat);
        mRollouts.apply(sender, heartbeat);
        EndpointObservations.apply(mState, sender, heartbeat, writtenMillis);
        heartbeat.getStageWaitsList().forEach(this::applyStageWait);
        heartbeat.getPromptsList().forEach(this::applyPrompt);
        mResponseTimes.apply(sender, heartbeat);
        for (BrittleService brittle : heartbeat.getBrittleServicesList()) {
            mState.rejectionMonitor()
                    .recordPeerReport(
                            sender, brittle.getService(), brittle.getRejectionsPerSecond());
        }
    }

    /** Removes the load of a lost peer. */
    void remove(String sender) {
        mLoadedEndpoints.remove(sender);
        mState.directory().all().forEach(each -> each.setPeerLoad(sender, EndpointLoad.NONE));
    }

    private static PromptRead promptRead(GatewayState.PromptRead prompt) {
        PromptRead.Builder read = PromptRead.newBuilder().setEndpoint(prompt.engine());
        for (PromptPart part : prompt.parts()) {
            read.addPartIds(part.id()).addPartTokens(part.tokens());
        }
        return read.build();
    }

    private void applyPrompt(PromptRead read) {
        List<PromptPart> parts = new ArrayList<>();
        int count = Math.min(read.getPartIdsCount(), read.getPartTokensCount());
        for (int index = 0; index < count; index++) {
            parts.add(new PromptPart(read.getPartIds(index), read.getPartTokens(index)));
        }
        mState.directory()
                .find(read.getEndpoint())
                .flatMap(endpoint -> mState.service(endpoint.registration().service()))
                .flatMap(service -> service.engine())
                .ifPresent(
                        engine ->
                                mState.prefixCaches()
                                        .recordPrompt(read.getEndpoint(), parts, engine.tokens()));
    }

    private void applyLoads(String sender, GatewayHeartbeat heartbeat) {
        Set<String> loaded = new HashSet<>();
        for (SentLoad load : heartbeat.getLoadsList()) {
            loaded.add(load.getEndpoint());
            EndpointLoad sent =
                    new EndpointLoad(load.getRunning(), load.getTokens(), load.getUnreadTokens());
            mState.directory()
                    .find(load.getEndpoint())
                    .ifPresent(endpoint -> endpoint.setPeerLoad(sender, sent));
        }
        Set<String> unloaded = mLoadedEndpoints.getOrDefault(sender, Set.of());
        mLoadedEndpoints.put(sender, loaded);
        for (String endpoint : unloaded) {
            if (!loaded.contains(endpoint)) {
                mState.directory()
                        .find(endpoint)
                        .ifPresent(state -> state.setPeerLoad(sender, EndpointLoad.NONE));
            }
        }
    }
}
