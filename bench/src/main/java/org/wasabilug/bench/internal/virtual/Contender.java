package org.wasabilug.bench.internal.virtual;

import org.wasabilug.internal.deadline.QueueOrder;
import org.wasabilug.internal.instance.InstanceCore;
import org.wasabilug.internal.instance.InstanceSettings;
import org.wasabilug.internal.routing.RoutingSettings;
import org.wasabilug.internal.routing.RoutingStyle;
import org.wasabilug.scenarios.internal.fleet.CoreFactory;

/**
 * A combination of routing and queueing policies, compared with others on the same arrivals.
 *
 * @param label name in reports
 * @param routing policy for choosing endpoints
 * @param queueOrder order of waiting calls
 */
public record Contender(String label, RoutingStyle routing, QueueOrder queueOrder) {
    private static final InstanceSettings DEFAULTS = InstanceSettings.builder().build();

    /**
     * Returns the product with its default policies.
     *
     * @return the contender named {@code product}
     */
    public static Contender product() {
        return new Contender("product", DEFAULTS.routing().style(), DEFAULTS.queueOrder());
    }

    /**
     * Returns round robin over endpoints, with everything else as in the product.
     *
     * @return the contender named {@code round-robin}
     */
    public static Contender roundRobin() {
        return new Contender("round-robin", new RoutingStyle.RoundRobin(), DEFAULTS.queueOrder());
    }

    /**
     * Returns routing by least reported load, with everything else as in the product.
     *
     * @return the contender named {@code least-reported-load}
     */
    public static Contender leastReportedLoad() {
        return new Contender(
                "least-reported-load", new RoutingStyle.LeastReportedLoad(), DEFAULTS.queueOrder());
    }

    /**
     * Returns the product with a different order of waiting calls.
     *
     * @param label name in reports
     * @param order the order
     * @return the contender
     */
    public static Contender productWith(String label, QueueOrder order) {
        return new Contender(label, DEFAULTS.routing().style(), order);
    }

    CoreFactory coreFactory() {
        RoutingSettings settings = RoutingSettings.builder().style(routing).build();
        return (name, domain, incarnation, seed) ->
                new InstanceCore(
                        InstanceSettings.builder()
                                .name(name)
                                .failureDomain(domain)
                                .incarnation(incarnation)
                                .seed(seed)
                                .routing(settings)
                                .queueOrder(queueOrder)
                                .build());
    }
}
