package org.wasabilug.internal.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.NameRules;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.ListedRole;
import org.wasabilug.port.PeerMessage;

/**
 * Known peers of an instance, and the bounded set of selected peers that it sends messages to.
 *
 * <p>The set consists of the peers with the lowest pair hash within the local failure domain and a
 * few outside it; suspect peers are selected last. Both sides of a pair compute the same hash, so
 * selection is mostly mutual and load is even.
 */
final class PeerTable {
    static final int MAX_PEERS_WITHIN_DOMAIN = 8;
    static final int MAX_PEERS_OUTSIDE_DOMAIN = 4;

    private final InstanceName mSelf;
    private final FailureDomainName mFailureDomain;
    private final Map<InstanceName, Peer> mPeers = new TreeMap<>();
    private List<Peer> mSelected = List.of();
    private int mListedCount;

    PeerTable(InstanceName self, FailureDomainName failureDomain) {
        mSelf = self;
        mFailureDomain = failureDomain;
    }

    private long pairHashOf(InstanceName other) {
        boolean first = mSelf.compareTo(other) < 0;
        return Hashing.murmur3_128()
                .newHasher()
                .putString((first ? mSelf : other).value(), StandardCharsets.UTF_8)
                .putChar(' ')
                .putString((first ? other : mSelf).value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    void applyInstanceList(List<ListedInstance> instances, long nowNanos) {
        Set<InstanceName> names = new HashSet<>();
        mListedCount = 0;
        for (ListedInstance instance : instances) {
            if (instance.role() == ListedRole.ENTRY && NameRules.isValid(instance.name())) {
                InstanceName name = new InstanceName(instance.name());
                mListedCount += instance.leaving() ? 0 : 1;
                if (!name.equals(mSelf) && names.add(name)) {
                    peer(name, instance.failureDomain())
                            .markListed(instance.failureDomain(), instance.address());
                }
            }
        }
        mPeers.values().stream()
                .filter(peer -> !names.contains(peer.name()))
                .forEach(Peer::markUnlisted);
        select(nowNanos);
    }

    private Peer peer(InstanceName name, FailureDomainName failureDomain) {
        return mPeers.computeIfAbsent(
                name, absent -> new Peer(name, pairHashOf(name), failureDomain, ""));
    }

    /** Applies a heartbeat; returns empty if it is from an earlier incarnation of the peer. */
    Optional<Peer> onHeartbeat(
            InstanceName sender, PeerMessage.Heartbeat heartbeat, long nowNanos) {
        boolean known = mPeers.containsKey(sender);
        Peer peer = peer(sender, heartbeat.failureDomain());
        boolean current = peer.onHeartbeat(heartbeat, nowNanos);
        if (!known) {
            select(nowNanos);
        }
        return current ? Optional.of(peer) : Optional.empty();
    }

    /** Recomputes the set of selected peers and removes expired ones. */
    void select(long nowNanos) {
        mPeers.values().removeIf(peer -> peer.isExpired(nowNanos));
        List<Peer> selected = new ArrayList<>();
        preferred(true, MAX_PEERS_WITHIN_DOMAIN, nowNanos).forEach(selected::add);
        preferred(false, MAX_PEERS_OUTSIDE_DOMAIN, nowNanos).forEach(selected::add);
        mPeers.values().forEach(peer -> peer.setSelected(selected.contains(peer), nowNanos));
        mSelected = List.copyOf(selected);
    }

    private Stream<Peer> preferred(boolean within, int limit, long nowNanos) {
        return mPeers.values().stream()
                .filter(peer -> peer.failureDomain().equals(mFailureDomain) == within)
                .sorted(
                        Comparator.comparing((Peer peer) -> peer.isSuspect(nowNanos))
                                .thenComparing(Peer::pairHash))
                .limit(limit);
    }

    List<Peer> selected() {
        return mSelected;
    }

    List<Peer> suspects(long nowNanos) {
        return mPeers.values().stream().filter(peer -> peer.isSuspect(nowNanos)).toList();
    }

    Optional<Peer> find(InstanceName name) {
        return Optional.ofNullable(mPeers.get(name));
    }

    List<Peer> all() {
        return List.copyOf(mPeers.values());
    }

    List<Peer> live(long nowNanos) {
        return mPeers.values().stream()
                .filter(peer -> peer.isLive(nowNanos) && !peer.isStopping())
                .toList();
    }

    int countEstimate(long nowNanos) {
        return Math.max(mListedCount, 1 + live(nowNanos).size());
    }
}
