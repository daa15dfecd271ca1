package org.wasabilug.gateway.internal.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.request.CrashSuspectRegistry;
import org.wasabilug.internal.serving.CrashObservation;
import org.wasabilug.internal.serving.CrashSuspects;
import org.wasabilug.internal.serving.CrashVerdict;
import org.wasabilug.internal.serving.RendezvousHashing;
import org.wasabilug.internal.serving.RequestFeatures;
import org.wasabilug.messages.gateway.CrashAcquittal;
import org.wasabilug.messages.gateway.CrashReport;
import org.wasabilug.messages.gateway.GatewayEnvelope;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Exchanges crashes, and answers that clear what was suspected, with peers.
 *
 * <p>Each message goes to all live peers twice, as a connection may drop one. A peer that becomes
 * live gets all suspects from a few instances, which the hash of its name chooses.
 */
public final class SharedCrashSuspects implements CrashSuspectRegistry {
    private static final long REPEAT_MILLIS = 1_000;
    private static final int INFORMING_PEERS = 3;

    private final GatewayState mState;
    private final PeerNetwork mNetwork;
    private final CrashSuspects mSuspects = new CrashSuspects();

    /** Features that counted as causes of crashes when the log last told of them. */
    private Set<Long> mCauses = new HashSet<>();

    /**
     * Creates a registry without suspects.
     *
     * @param state state of this process
     * @param network the other instances
     */
    public SharedCrashSuspects(GatewayState state, PeerNetwork network) {
        mState = state;
        mNetwork = network;
    }

    @Override
    public boolean isEmpty() {
        return mSuspects.isEmpty();
    }

    @Override
    public void crashed(
            EndpointRegistration endpoint, RequestFeatures request, long crashedMillis) {
        CrashObservation observation =
                new CrashObservation(
                        endpoint.name(),
                        endpoint.failureDomain(),
                        endpoint.service(),
                        crashedMillis,
                        request.workspace(),
                        request.content(),
                        request.parts());
        if (record(observation, LogLine.of("endpoint-crashed"))) {
            sendTwice(() -> report(observation));
        }
    }

    private void sendTwice(Supplier<GatewayEnvelope> message) {
        mNetwork.broadcast(message.get());
        mState.loop()
                .schedule(
                        () -> mNetwork.broadcast(message.get()),
                        REPEAT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private GatewayEnvelope report(CrashObservation observation) {
        CrashReport report = CrashMessages.report(observation, mState.nowMillis());
        return mNetwork.envelope().setCrashReport(report).build();
    }

    private boolean record(CrashObservation observation, LogLine line) {
        if (!mSuspects.recordCrash(observation, mState.nowMillis())) {
            return false;
        }
        mState.log()
                .process(
                        line.with("endpoint", observation.endpoint())
                                .with("domain", observation.failureDomain())
                                .with("content", Long.toHexString(observation.content()))
                                .with("parts", text(observation.parts()))
                                .with("age", mState.nowMillis() - observation.crashedMillis()));
        logCauses();
        return true;
    }

    private void logCauses() {
        Set<Long> causes = new HashSet<>(mSuspects.condemned());
        Set<Long> found = new HashSet<>(causes);
        found.removeAll(mCauses);
        mCauses = causes;
        if (!found.isEmpty()) {
            mState.log().process(LogLine.of("crash-cause-found").with("features", text(found)));
        }
    }

    @Override
    public void answered(RequestFeatures request) {
        long now = mState.nowMillis();
        Set<Long> cleared = mSuspects.recordAnswer(request, now);
        if (!cleared.isEmpty()) {
            cleared(cleared, mState.settings().name());
            sendTwice(() -> acquittal(cleared, now));
        }
    }

    private GatewayEnvelope acquittal(Set<Long> features, long answeredMillis) {
        CrashAcquittal acquittal =
                CrashMessages.acquittal(features, mState.nowMillis() - answeredMillis);
        return mNetwork.envelope().setCrashAcquittal(acquittal).build();
    }

    private void cleared(Set<Long> features, String instance) {
        mCauses.removeAll(features);
        mState.log()
                .process(
                        LogLine.of("crash-suspects-cleared")
                                .with("features", text(features))
                                .with("instance", instance));
    }

    @Override
    public CrashVerdict judge(RequestFeatures request, String service) {
        return mSuspects.judge(request, isFirst(service), mState.nowMillis());
    }

    /** Returns whether this instance is the one that tries refused requests of a service again. */
    private boolean isFirst(String service) {
        return RendezvousHashing.choose(service, mNetwork.live(), 1)
                .contains(mState.settings().name());
    }

    @Override
    public Set<Long> condemned(RequestFeatures request) {
        Set<Long> features = new HashSet<>(request.parts());
        features.add(request.content());
        features.retainAll(mSuspects.condemned());
        return features;
    }

    /**
     * Records a crash that a peer saw.
     *
     * @param peer name of the peer
     * @param report the crash
     */
    public void reportReceived(String peer, CrashReport report) {
        record(
                CrashMessages.observation(report, mState.nowMillis()),
                LogLine.of("peer-crash").with("instance", peer));
    }

    /**
     * Clears suspects with which an answer went on at a peer.
     *
     * @param peer name of the peer
     * @param acquittal the suspects
     */
    public void acquittalReceived(String peer, CrashAcquittal acquittal) {
        Set<Long> features = new HashSet<>(acquittal.getFeaturesList());
        mSuspects.acquit(features, mState.nowMillis() - acquittal.getAgeMilliseconds());
        cleared(features, peer);
    }

    /**
     * Sends all suspects to a peer that has become live.
     *
     * @param peer name of the peer
     */
    public void peerLive(String peer) {
        Set<String> others = mNetwork.live();
        others.remove(peer);
        List<String> informing = RendezvousHashing.choose(peer, others, INFORMING_PEERS);
        if (informing.contains(mState.settings().name())) {
            mSuspects.observations().stream()
                    .map(this::report)
                    .forEach(report -> mNetwork.send(peer, report));
        }
    }

    /** Forgets what no longer matters; to be called several times a second. */
    public void removeExpired() {
        mSuspects.removeExpired(mState.nowMillis());
    }

    private static String text(Set<Long> features) {
        return String.join(" ", features.stream().map(Long::toHexString).sorted().toList());
    }
}
