package org.wasabilug.internal.serving;

import java.util.List;
import java.util.Map;

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
