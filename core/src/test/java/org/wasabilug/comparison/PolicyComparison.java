package org.wasabilug.comparison;

import java.util.List;
import java.util.Locale;
import org.wasabilug.internal.deadline.QueueOrder;
import org.wasabilug.internal.routing.RoutingStyle;

/** Prints a table that compares queue orders and routing styles on the same seeded arrivals. */
public final class PolicyComparison {
    private static final double[] LOADS = {0.6, 0.8, 0.95, 1.3};
    private static final long[] SEEDS = {1, 2, 3};
    private static final double SLOW_FACTOR = 4;

    private record Policy(String name, RoutingStyle style, QueueOrder order, boolean portfolio) {}

    private PolicyComparison() {}

    /**
     * Runs every policy at every load and prints means over the seeds.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        System.out.println("| policy | load | in time | worst workspace | goodput | wasted |");
        System.out.println("|---|---|---|---|---|---|");
        for (double load : LOADS) {
            policies().forEach(policy -> print(policy, load));
        }
    }

    private static List<Policy> policies() {
        RoutingStyle adaptive = new RoutingStyle.Adaptive(3);
        QueueOrder shares = new QueueOrder.WeightedShares();
        return List.of(
                new Policy("adaptive, shares", adaptive, shares, false),
                new Policy("adaptive of 2, shares", new RoutingStyle.Adaptive(2), shares, false),
                new Policy("round robin, shares", new RoutingStyle.RoundRobin(), shares, false),
                new Policy(
                        "least reported, shares",
                        new RoutingStyle.LeastReportedLoad(),
                        shares,
                        false),
                new Policy(
                        "adaptive, shares and slack",
                        adaptive,
                        new QueueOrder.WeightedShares(new QueueOrder.LeastSlack()),
                        false),
                new Policy(
                        "adaptive, shares and deadline",
                        adaptive,
                        new QueueOrder.WeightedShares(new QueueOrder.EarliestDeadline()),
                        false),
                new Policy("adaptive, least slack", adaptive, new QueueOrder.LeastSlack(), false),
                new Policy(
                        "adaptive, earliest deadline",
                        adaptive,
                        new QueueOrder.EarliestDeadline(),
                        false),
                new Policy(
                        "adaptive, shortest work",
                        adaptive,
                        new QueueOrder.ShortestRemainingWork(),
                        false),
                new Policy("adaptive, portfolio", adaptive, new QueueOrder.LeastSlack(), true));
    }

    private static void print(Policy policy, double load) {
        double attainment = 0;
        double lowestWorkspace = 0;
        double goodput = 0;
        double wasted = 0;
        for (long seed : SEEDS) {
            ModelSettings settings =
                    new ModelSettings(
                            policy.style(),
                            policy.order(),
                            policy.portfolio(),
                            load,
                            SLOW_FACTOR,
                            seed);
            ModelResult result = QueueingModel.run(settings);
            attainment += result.attainment() / SEEDS.length;
            lowestWorkspace += result.lowestWorkspaceAttainment() / SEEDS.length;
            goodput += result.goodput(settings) / SEEDS.length;
            wasted += result.wastedShare() / SEEDS.length;
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %.0f %% | %.2f %% | %.2f %% | %.1f %% | %.2f %% |%n",
                policy.name(),
                100 * load,
                100 * attainment,
                100 * lowestWorkspace,
                100 * goodput,
                100 * wasted);
    }
}
