package org.wasabilug.entry.internal.actor;

import com.codahale.metrics.MetricRegistry;
import org.wasabilug.endpoint.EndpointClient;
import org.wasabilug.entry.EntryLimits;
import org.wasabilug.entry.PeerSender;
import org.wasabilug.internal.instance.DecisionCore;
import org.wasabilug.tableservice.PlatformClient;

/**
 * Core, clients and limits of an instance.
 *
 * @param core makes the decisions
 * @param platform client of the platform's services
 * @param endpoints client of the endpoints
 * @param peers sends messages to other instances
 * @param limits bounds on what callers may use
 * @param metrics registry for the instance's metrics
 */
public record InstanceDependencies(
        DecisionCore core,
        PlatformClient platform,
        EndpointClient endpoints,
        PeerSender peers,
        EntryLimits limits,
        MetricRegistry metrics) {}
