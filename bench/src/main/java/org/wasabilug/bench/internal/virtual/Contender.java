package org.wasabilug.bench.internal.virtual;

import org.wasabilug.internal.deadline.QueueOrder;
import org.wasabilug.internal.instance.InstanceCore;
import org.wasabilug.internal.instance.InstanceSettings;
import org.wasabilug.internal.routing.RoutingSettings;
import org.wasabilug.internal.routing.RoutingStyle;
import org.wasabilug.scenarios.internal.fleet.CoreFactory;

/**
 * A way of deciding that is compared with others on the same arrivals.
 *
 * @param label name in reports
 * @param routing how endpoints are chosen
 * @param queueOrder order of waiting calls
 */
public record Contender(String label, RoutingStyle routing, QueueOrder queueOrder) {
    private static final InstanceSettings USUAL = InstanceSettings.builder().build();

    /**
     * The product with its usual settings.
     *
     * @return the contender
     */
    public static Contender product() {
        return new Contender("product", USUAL.routing().style(), USUAL.queueOrder());
    }

    /**
     * Round robin over endpoints, all else as in the product.
     *
     * @return the contender
     */
    public static Contender roundRobin() {
        return new Contender("round-robin", new RoutingStyle.RoundRobin(), USUAL.queueOrder());
    }

    /**
     * Least reported load, all else as in the product.
     *
     * @return the contender
     */
    public static Contender leastReportedLoad() {
        return new Contender(
                "least-reported-load", new RoutingStyle.LeastReportedLoad(), USUAL.queueOrder());
    }

    /**
     * The product with another order of waiting calls.
     *
     * @param label name in reports
     * @param order the order
     * @return the contender
     */
    public static Contender productWith(String label, QueueOrder order) {
        return new Contender(label, USUAL.routing().style(), order);
    }

    CoreFactory cores() {
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
