package org.wasabilug.gateway.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter;
import org.wasabilug.gateway.internal.endpoint.EndpointConnections;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.ConnectionRelays;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.internal.serving.EndpointDirectory;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.internal.serving.EndpointReachability;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.RelayCandidate;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Tracks to which groups of endpoints this instance can open connections, and chooses relays to the
 * others.
 *
 * <p>A late response makes it probe another endpoint of the group. Groups that are unreachable are
 * probed until a connection opens.
 */
public final class ReachabilityMonitor implements ConnectionRouter {
    private static final int PROBES = 3;
    private static final long PROBE_INTERVAL_MILLIS = 500;
    private static final int MAX_RELAYS = 3;
    private static final int MAX_WITNESSES = 8;
    private static final long RELAY_PAUSE_MILLIS = 1_000;

    private final EndpointReachability mReachability = new EndpointReachability();
    private final Map<EndpointGroup, Long> mNextProbeMillis = new HashMap<>();
    private final Map<EndpointGroup, Long> mConnectedMillis = new HashMap<>();
    private final Map<String, Long> mRelayPausedUntilMillis = new HashMap<>();
    private final Map<String, Long> mRelayLateUntilMillis = new HashMap<>();
    private final UniformRandomProvider mRandom = RandomSource.XO_SHI_RO_256_PP.create();
    private final GatewayState mState;
    private final EndpointDirectory mDirectory;
    private final EndpointConnections mConnections;
    private RelayPeers mPeers = RelayPeers.NONE;
    private Consumer<EndpointGroup> mSilentListener = group -> {};

    ReachabilityMonitor(
            GatewayState state, EndpointDirectory directory, EndpointConnections connections) {
        mState = state;
        mDirectory = directory;
        mConnections = connections;
    }

    /**
     * Sets the source of the instances that relay connections.
     *
     * @param peers the other instances
     */
    public void peers(RelayPeers peers) {
        mPeers = peers;
    }

    /** Returns the groups of endpoints to which this instance can open no connections. */
    public Set<EndpointGroup> unreachable() {
        return mReachability.unreachable();
    }

    /**
     * Records that no instance in a domain is reachable any more, so that one failed connection is
     * evidence enough.
     *
     * @param domain the failure domain
     */
    public void recordPeersLost(String domain) {
        mReachability.recordPeersLost(domain);
    }

    @Override
    public boolean reaches(EndpointGroup group) {
        return !mReachability.isUnreachable(group);
    }

    /**
     * Returns whether packets to a group of endpoints seem to be lost, so that nothing more is to
     * be expected on direct connections either. A group of one endpoint, which may be silent for a
     * while, does not tell.
     *
     * @param group the group
     */
    public boolean isSilent(EndpointGroup group) {
        return mReachability.isSilent(group) && mDirectory.inGroup(group).size() > 1;
    }

    /** Returns whether this instance can open connections to no endpoint and is not alone. */
    public boolean isCutOff() {
        return mState.instances() > 1
                && mDirectory.all().stream()
                        .noneMatch(each -> reaches(EndpointGroup.of(each.registration())));
    }

    /**
     * Returns whether this instance can open connections to a group of endpoints, or an instance
     * beside them can relay them.
     *
     * @param group the group
     */
    public boolean isReachable(EndpointGroup group) {
        return reaches(group)
                || candidates().stream()
                        .anyMatch(each -> each.isBeside(group) && each.reaches(group));
    }

    /**
     * Returns whether another instance can open connections to a group of endpoints.
     *
     * @param group the group
     */
    public boolean peerReaches(EndpointGroup group) {
        return candidates().stream().anyMatch(each -> each.reaches(group));
    }

    /**
     * Returns the instances that may relay connections, without those that lately did not reply.
     */
    private List<RelayCandidate> candidates() {
        long now = mState.nowMillis();
        mRelayPausedUntilMillis.values().removeIf(until -> until <= now);
        return mPeers.candidates().stream()
                .filter(each -> !mRelayPausedUntilMillis.containsKey(each.name()))
                .toList();
    }

    @Override
    public List<Relay> relaysTo(EndpointGroup group) {
        return reaches(group) ? List.of() : relays(group, MAX_RELAYS);
    }

    @Override
    public List<Relay> witnesses(EndpointGroup group) {
        return relays(group, MAX_WITNESSES);
    }

    private List<Relay> relays(EndpointGroup group, int maximum) {
        long now = mState.nowMillis();
        mRelayLateUntilMillis.values().removeIf(until -> until <= now);
        return ConnectionRelays.choose(group, candidates(), Integer.MAX_VALUE, mRandom).stream()
                .sorted(Comparator.comparing(mRelayLateUntilMillis::containsKey))
                .limit(maximum)
                .map(name -> new Relay(name, mPeers.address(name)))
                .toList();
    }

    @Override
    public boolean accepts(Relay relay, EndpointGroup group) {
        return candidates().stream()
                .anyMatch(each -> each.name().equals(relay.instance()) && each.reaches(group));
    }

    @Override
    public void attempted(EndpointRegistration endpoint, ConnectionResult result) {
        if (result == ConnectionResult.OPENED) {
            connected(EndpointGroup.of(endpoint));
        } else {
            failed(endpoint, result);
        }
    }

    private static LogLine line(String event, EndpointGroup group) {
        return LogLine.of(event)
                .with("domain", group.failureDomain())
                .with("service", group.service());
    }

    private void connected(EndpointGroup group) {
        mConnectedMillis.put(group, mState.nowMillis());
        if (mReachability.recordConnected(group)) {
            mState.log().process(line("domain-reached-again", group));
        }
    }

    private void failed(EndpointRegistration endpoint, ConnectionResult result) {
        EndpointGroup group = EndpointGroup.of(endpoint);
        List<EndpointState> known = mDirectory.inGroup(group);
        if (mReachability.recordFailure(endpoint, result, known.size())) {
            leave(group, known, result);
        } else if (reaches(group) && mayProbe(group)) {
            probe(known, endpoint.name(), PROBES, opened -> {});
        }
    }

    /** Gives up open connections to a group that may be broken unnoticed. */
    private void leave(
            EndpointGroup group, List<EndpointState> endpoints, ConnectionResult result) {
        boolean silent = mReachability.isSilent(group);
        boolean relays = peerReaches(group);
        mState.log()
                .process(
                        line("domain-cut-off", group)
                                .with("last", result.name())
                                .with("relays", relays));
        if (silent || relays) {
            endpoints.forEach(each -> mConnections.closeDirect(each.registration().name()));
        }
        if (silent) {
            mSilentListener.accept(group);
        }
    }

    @Override
    public void relayLate(Relay relay) {
        mRelayLateUntilMillis.put(relay.instance(), mState.nowMillis() + RELAY_PAUSE_MILLIS);
    }

    @Override
    public void relayed(
            Relay relay, EndpointRegistration endpoint, String request, RelayReply.Status result) {
        if (result == RelayReply.Status.UNKNOWN) {
            mRelayPausedUntilMillis.put(relay.instance(), mState.nowMillis() + RELAY_PAUSE_MILLIS);
        } else {
            mRelayLateUntilMillis.remove(relay.instance());
        }
        mState.log()
                .request(
                        LogLine.of("relayed")
                                .with("request", request)
                                .with("endpoint", endpoint.name())
                                .with("instance", relay.instance())
                                .with("result", result.name()));
    }

    /**
     * Records that an endpoint does not respond; probes another endpoint of its group unless a
     * connection was opened there lately.
     *
     * @param endpoint the endpoint
     */
    public void suspect(EndpointRegistration endpoint) {
        EndpointGroup group = EndpointGroup.of(endpoint);
        if (reaches(group) && !connectedLately(group) && mayProbe(group)) {
            probe(mDirectory.inGroup(group), endpoint.name(), 1, opened -> {});
        }
    }

    private boolean connectedLately(EndpointGroup group) {
        Long connected = mConnectedMillis.get(group);
        return connected != null && mState.nowMillis() - connected < PROBE_INTERVAL_MILLIS;
    }

    private boolean mayProbe(EndpointGroup group) {
        long now = mState.nowMillis();
        if (now < mNextProbeMillis.getOrDefault(group, Long.MIN_VALUE)) {
            return false;
        }
        mNextProbeMillis.put(group, now + PROBE_INTERVAL_MILLIS);
        return true;
    }

    /**
     * Checks whether this instance can open a connection to any other endpoint in the group of one,
     * or in its failure domain if it is alone in its group.
     *
     * @param endpoint the endpoint that is left out
     * @param receiver receives true as soon as a connection opens, or false once several have
     *     failed or if there is no other endpoint
     */
    public void checkOthers(EndpointRegistration endpoint, Consumer<Boolean> receiver) {
        List<EndpointState> others = mDirectory.inGroup(EndpointGroup.of(endpoint));
        if (others.size() <= 1) {
            others = mDirectory.inDomain(endpoint.failureDomain());
        }
        probe(others, endpoint.name(), PROBES, receiver);
    }

    /** Probes the groups that are unreachable; to be called several times a second. */
    public void probe() {
        for (EndpointGroup group : mReachability.unreachable()) {
            List<EndpointState> known = mDirectory.inGroup(group);
            if (known.isEmpty()) {
                connected(group);
            } else {
                probe(known, "", 1, opened -> {});
            }
        }
    }

    private void probe(
            List<EndpointState> known, String excluded, int count, Consumer<Boolean> receiver) {
        List<EndpointState> endpoints = new ArrayList<>(known);
        endpoints.removeIf(each -> each.registration().name().equals(excluded));
        Set<EndpointState> chosen = new HashSet<>();
        while (chosen.size() < Math.min(count, endpoints.size())) {
            chosen.add(endpoints.get(mRandom.nextInt(endpoints.size())));
        }
        if (chosen.isEmpty()) {
            receiver.accept(false);
            return;
        }
        ProbeRound round = new ProbeRound(chosen.size(), receiver);
        chosen.forEach(each -> mConnections.probe(each.registration(), round::completed));
    }

    /** Probes whose results count together. */
    private static final class ProbeRound {
        private final Consumer<Boolean> mReceiver;
        private int mOpen;
        private boolean mDone;

        ProbeRound(int probes, Consumer<Boolean> receiver) {
            mOpen = probes;
            mReceiver = receiver;
        }

        private void completed(ConnectionResult result) {
            mOpen--;
            boolean opened = result == ConnectionResult.OPENED;
            if (!mDone && (opened || mOpen == 0)) {
                mDone = true;
                mReceiver.accept(opened);
            }
        }
    }

    /**
     * Sets the listener for groups from which nothing more is to be expected.
     *
     * @param listener receives the group
     */
    public void onSilent(Consumer<EndpointGroup> listener) {
        mSilentListener = listener;
    }
}
