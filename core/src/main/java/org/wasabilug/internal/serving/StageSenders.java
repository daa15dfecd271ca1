package org.wasabilug.internal.serving;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Chooses the instance that sends the pieces of a service to its endpoints.
 *
 * <p>That instance handles the pieces of all requests of the fleet, so weak instances are chosen
 * only where there is no stronger one.
 */
public final class StageSenders {
    /** Part of the largest processor share from which an instance counts as strong. */
    private static final double STRONG_PART = 0.5;

    private StageSenders() {}

    /**
     * Leaves out the instances that can open no connection to any endpoint of a service.
     *
     * @param processorShares processor share, in cores, of each available instance by name
     * @param unreachable returns the groups that an instance does not reach
     * @param groups groups of the service's endpoints
     * @return the shares of the instances that reach an endpoint; of all if none does
     */
    public static Map<String, Double> reaching(
            Map<String, Double> processorShares,
            Function<String, Set<EndpointGroup>> unreachable,
            Set<EndpointGroup> groups) {
        Map<String, Double> reaching = new TreeMap<>(processorShares);
        reaching.keySet()
                .removeIf(name -> !groups.isEmpty() && unreachable.apply(name).containsAll(groups));
        return reaching.isEmpty() ? processorShares : reaching;
    }

    /**
     * Chooses the sender of a service.
     *
     * @param service name of the service
     * @param processorShares processor share, in cores, of each available instance by name; not
     *     empty
     * @return name of the chosen instance; instances with the same knowledge choose the same one
     */
    public static String choose(String service, Map<String, Double> processorShares) {
        double largest =
                processorShares.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        List<String> strong =
                processorShares.entrySet().stream()
                        .filter(each -> each.getValue() >= STRONG_PART * largest)
                        .map(Map.Entry::getKey)
                        .toList();
        return RendezvousHashing.choose(service, strong, 1).getFirst();
    }
}
