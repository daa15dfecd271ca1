package org.wasabilug.entry.internal.operators;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.wasabilug.entry.internal.http.Json;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.Decision;
import org.wasabilug.internal.instance.InstanceStatus;
import org.wasabilug.port.VersionedObject;

/** JSON views of an instance's state and of the decisions about a request. */
final class StatusView {
    private StatusView() {}

    static ObjectNode of(InstanceStatus status, Configuration configuration) {
        ObjectNode body =
                Json.object()
                        .put("name", status.name().value())
                        .put("failureDomain", status.failureDomain().value())
                        .put("ready", status.ready())
                        .put("stopping", status.stopping())
                        .put("highestTicket", highestTicket(configuration))
                        .put("feedSequence", status.feedSequence())
                        .put("configurationAgeMilliseconds", status.configurationAgeMilliseconds())
                        .put("platformReachable", status.platformReachable())
                        .put("leaseEpoch", status.leaseEpoch())
                        .put("leaseHeld", status.leaseHeld())
                        .put("requestsInFlight", status.requestsInFlight())
                        .put("callsWaiting", status.callsWaiting());
        ArrayNode endpoints = body.putArray("endpoints");
        status.endpoints().forEach(endpoint -> endpoints.add(of(endpoint)));
        ArrayNode peers = body.putArray("peers");
        status.peers().forEach(peer -> peers.add(of(peer)));
        return body;
    }

    private static long highestTicket(Configuration configuration) {
        return configuration.objects().stream()
                .mapToLong(VersionedObject::ticketNumber)
                .max()
                .orElse(0);
    }

    private static ObjectNode of(InstanceStatus.EndpointStatus endpoint) {
        return Json.object()
                .put("name", endpoint.name().value())
                .put("pool", endpoint.pool().value())
                .put("failureDomain", endpoint.failureDomain().value())
                .put("state", endpoint.state())
                .put("inFlight", endpoint.inFlight())
                .put("allowance", endpoint.allowance());
    }

    private static ObjectNode of(InstanceStatus.PeerStatus peer) {
        return Json.object()
                .put("name", peer.name().value())
                .put("failureDomain", peer.failureDomain().value())
                .put("reachable", peer.reachable())
                .put("feedSequence", peer.feedSequence());
    }

    static ObjectNode of(String request, List<Decision> decisions) {
        ObjectNode body = Json.object().put("request", request);
        ArrayNode nodes = body.putArray("decisions");
        decisions.forEach(decision -> nodes.add(Json.tree(decision)));
        return body;
    }
}
