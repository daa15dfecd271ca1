package org.wasabilug.scenarios.internal.fleet;

import java.util.Map;
import org.wasabilug.model.EndpointName;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.fake.FakeNetwork;
import org.wasabilug.scenarios.internal.fake.FakePlatform;
import org.wasabilug.scenarios.internal.history.History;

/**
 * Services and infrastructure shared by the instances of a fleet.
 *
 * @param clock virtual time
 * @param history log of the run
 * @param platform the platform's services
 * @param network links between failure domains
 * @param endpoints all endpoints, keyed by name
 */
public record FleetEnvironment(
        VirtualClock clock,
        History history,
        FakePlatform platform,
        FakeNetwork network,
        Map<EndpointName, FakeEndpoint> endpoints) {}
