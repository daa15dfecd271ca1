package org.wasabilug.gateway.internal.peer;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.messages.gateway.GatewayHeartbeat;

/** Translates what instances tell each other of endpoints that they don't reach. */
final class PeerReachability {
    private PeerReachability() {}

    static List<org.wasabilug.messages.gateway.EndpointGroup> messages(
            Collection<EndpointGroup> groups) {
        return groups.stream().map(PeerReachability::message).toList();
    }

    private static org.wasabilug.messages.gateway.EndpointGroup message(EndpointGroup group) {
        return org.wasabilug.messages.gateway.EndpointGroup.newBuilder()
                .setService(group.service())
                .setFailureDomain(group.failureDomain())
                .build();
    }

    static Set<EndpointGroup> unreachable(GatewayHeartbeat heartbeat) {
        if (heartbeat.getUnreachableCount() == 0) {
            return Set.of();
        }
        return heartbeat.getUnreachableList().stream()
                .map(each -> new EndpointGroup(each.getService(), each.getFailureDomain()))
                .collect(Collectors.toSet());
    }
}
