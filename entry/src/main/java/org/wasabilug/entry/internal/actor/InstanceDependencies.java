package org.wasabilug.entry.internal.actor;

import com.codahale.metrics.MetricRegistry;
import org.wasabilug.endpoint.EndpointClient;
import org.wasabilug.entry.EntryLimits;
import org.wasabilug.entry.PeerSender;
import org.wasabilug.internal.instance.DecisionCore;
import org.wasabilug.tableservice.PlatformClient;

/**
 * What an instance is made of.
 *
 * @param core the decisions
 * @param platform the platform's services
 * @param endpoints calls to endpoints
 * @param peers sends messages to other instances
 * @param limits bounds
 * @param metrics where the instance counts
 */
public record InstanceDependencies(
        DecisionCore core,
        PlatformClient platform,
        EndpointClient endpoints,
        PeerSender peers,
        EntryLimits limits,
        MetricRegistry metrics) {}
