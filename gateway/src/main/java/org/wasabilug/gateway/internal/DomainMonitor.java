package org.wasabilug.gateway.internal;

import java.util.ArrayList;
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
import org.wasabilug.internal.serving.DomainReachability;
import org.wasabilug.internal.serving.EndpointDirectory;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.RelayCandidate;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Tracks to which failure domains this instance can open connections, and chooses relays to the
 * others.
 *
 * <p>A late response makes it probe a few endpoints of the domain. Domains that are unreachable are
 * probed until a connection opens.
 */
public final class DomainMonitor implements ConnectionRouter {
    private static final int PROBES = 3;
    private static final long PROBE_INTERVAL_MILLIS = 500;
    private static final int MAX_RELAYS = 3;
    private static final int MAX_WITNESSES = 8;
    private static final long RELAY_PAUSE_MILLIS = 1_000;

    private final DomainReachability mReachability = new DomainReachability();
    private final Map<String, Long> mNextProbeMillis = new HashMap<>();
    private final Map<String, Long> mConnectedMillis = new HashMap<>();
    private final Map<String, Long> mRelayPausedUntilMillis = new HashMap<>();
    private final UniformRandomProvider mRandom = RandomSource.XO_SHI_RO_256_PP.create();
    private final GatewayState mState;
    private final EndpointDirectory mDirectory;
    private final EndpointConnections mConnections;
    private RelayPeers mPeers = RelayPeers.NONE;
    private Consumer<String> mSilentListener = domain -> {};

    DomainMonitor(
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

    /** Returns the reachability of the failure domains. */
    public DomainReachability reachability() {
        return mReachability;
    }

    /**
     * Returns whether this instance can open connections to a failure domain.
     *
     * @param domain the failure domain
     */
    public boolean reaches(String domain) {
        return !mReachability.isUnreachable(domain);
    }

    /** Returns whether this instance can open connections to no domain, but has peers. */
    public boolean isCutOff() {
        return !mPeers.candidates().isEmpty()
                && mDirectory.all().stream()
                        .noneMatch(each -> reaches(each.registration().failureDomain()));
    }

    /**
     * Returns whether another instance can open connections to a failure domain.
     *
     * @param domain the failure domain
     */
    public boolean peerReaches(String domain) {
        return candidates().stream().anyMatch(each -> each.reaches(domain));
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
    public List<Relay> relaysTo(String domain) {
        return reaches(domain) ? List.of() : relays(domain, MAX_RELAYS);
    }

    @Override
    public List<Relay> witnesses(String domain) {
        return relays(domain, MAX_WITNESSES);
    }

    private List<Relay> relays(String domain, int maximum) {
        String local = mState.settings().failureDomain();
        return ConnectionRelays.choose(domain, local, candidates(), maximum, mRandom).stream()
                .map(name -> new Relay(name, mPeers.address(name)))
                .toList();
    }

    @Override
    public boolean accepts(Relay relay) {
        return mPeers.candidates().stream().anyMatch(each -> each.name().equals(relay.instance()));
    }

    @Override
    public void attempted(EndpointRegistration endpoint, ConnectionResult result) {
        if (result == ConnectionResult.OPENED) {
            connected(endpoint.failureDomain());
        } else {
            failed(endpoint, result);
        }
    }

    private void connected(String domain) {
        mConnectedMillis.put(domain, mState.nowMillis());
        if (mReachability.recordConnected(domain)) {
            mState.log().process(LogLine.of("domain-reached-again").with("domain", domain));
        }
    }

    private void failed(EndpointRegistration endpoint, ConnectionResult result) {
        String domain = endpoint.failureDomain();
        List<EndpointState> known = mDirectory.inDomain(domain);
        if (mReachability.recordFailure(endpoint, result, known.size())) {
            mState.log()
                    .process(
                            LogLine.of("domain-cut-off")
                                    .with("domain", domain)
                                    .with("last", result.name())
                                    .with("relays", peerReaches(domain)));
            leave(domain, known);
        } else if (reaches(domain) && mayProbe(domain)) {
            probe(domain, endpoint.name(), PROBES, opened -> {});
        }
    }

    /** Gives up open connections to a domain that may be broken unnoticed. */
    private void leave(String domain, List<EndpointState> endpoints) {
        boolean silent = mReachability.isSilent(domain);
        if (silent || peerReaches(domain)) {
            endpoints.forEach(each -> mConnections.closeDirect(each.registration().name()));
        }
        if (silent) {
            mSilentListener.accept(domain);
        }
    }

    @Override
    public void relayed(
            Relay relay, EndpointRegistration endpoint, String request, RelayReply.Status result) {
        if (result == RelayReply.Status.UNKNOWN) {
            mRelayPausedUntilMillis.put(relay.instance(), mState.nowMillis() + RELAY_PAUSE_MILLIS);
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
     * Records that an endpoint does not respond; probes another endpoint of its domain unless a
     * connection was opened there lately.
     *
     * @param endpoint the endpoint
     */
    public void suspect(EndpointRegistration endpoint) {
        String domain = endpoint.failureDomain();
        if (reaches(domain) && !connectedLately(domain) && mayProbe(domain)) {
            probe(domain, endpoint.name(), 1, opened -> {});
        }
    }

    private boolean connectedLately(String domain) {
        Long connected = mConnectedMillis.get(domain);
        return connected != null && mState.nowMillis() - connected < PROBE_INTERVAL_MILLIS;
    }

    private boolean mayProbe(String domain) {
        long now = mState.nowMillis();
        if (now < mNextProbeMillis.getOrDefault(domain, Long.MIN_VALUE)) {
            return false;
        }
        mNextProbeMillis.put(domain, now + PROBE_INTERVAL_MILLIS);
        return true;
    }

    /**
     * Checks whether this instance can open a connection to any other endpoint in the failure
     * domain of one.
     *
     * @param endpoint the endpoint that is left out
     * @param receiver receives true as soon as a connection opens, or false once several have
     *     failed or if there is no other endpoint
     */
    public void checkDomain(EndpointRegistration endpoint, Consumer<Boolean> receiver) {
        probe(endpoint.failureDomain(), endpoint.name(), PROBES, receiver);
    }

    /** Probes the domains that are unreachable; to be called several times a second. */
    public void probe() {
        for (String domain : mReachability.unreachableDomains()) {
            if (mDirectory.inDomain(domain).isEmpty()) {
                connected(domain);
            } else {
                probe(domain, "", 1, opened -> {});
            }
        }
    }

    private void probe(String domain, String excluded, int count, Consumer<Boolean> receiver) {
        List<EndpointState> endpoints = new ArrayList<>(mDirectory.inDomain(domain));
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
     * Sets the listener for failure domains from which nothing more is to be expected.
     *
     * @param listener receives the name of the domain
     */
    public void onSilent(Consumer<String> listener) {
        mSilentListener = listener;
    }
}
