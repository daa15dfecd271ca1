package org.wasabilug.comparison;

import java.util.List;
import java.util.Locale;
import org.wasabilug.internal.deadline.QueueOrder;
import org.wasabilug.internal.routing.RoutingStyle;

/** Prints a table of queue orders and routing styles on the same seeded arrivals. */
public final class PolicyComparison {
    private static final double[] LOADS = {0.6, 0.8, 0.95, 1.3};
    private static final long[] SEEDS = {1, 2, 3};
    private static final double SLOW_FACTOR = 4;

    private record Way(String name, RoutingStyle style, QueueOrder order, boolean portfolio) {}

    private PolicyComparison() {}

    /**
     * Runs every way at every load and prints the means over the seeds.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        System.out.println("| way | load | in time | worst workspace | goodput | wasted |");
        System.out.println("|---|---|---|---|---|---|");
        for (double load : LOADS) {
            ways().forEach(way -> print(way, load));
        }
    }

    private static List<Way> ways() {
        RoutingStyle adaptive = new RoutingStyle.Adaptive(3);
        QueueOrder shares = new QueueOrder.WeightedShares();
        return List.of(
                new Way("adaptive, shares", adaptive, shares, false),
                new Way("adaptive of 2, shares", new RoutingStyle.Adaptive(2), shares, false),
                new Way("round robin, shares", new RoutingStyle.RoundRobin(), shares, false),
                new Way(
                        "least reported, shares",
                        new RoutingStyle.LeastReportedLoad(),
                        shares,
                        false),
                new Way(
                        "adaptive, shares and slack",
                        adaptive,
                        new QueueOrder.WeightedShares(new QueueOrder.LeastSlack()),
                        false),
                new Way(
                        "adaptive, shares and deadline",
                        adaptive,
                        new QueueOrder.WeightedShares(new QueueOrder.EarliestDeadline()),
                        false),
                new Way("adaptive, least slack", adaptive, new QueueOrder.LeastSlack(), false),
                new Way(
                        "adaptive, earliest deadline",
                        adaptive,
                        new QueueOrder.EarliestDeadline(),
                        false),
                new Way(
                        "adaptive, shortest work",
                        adaptive,
                        new QueueOrder.ShortestRemainingWork(),
                        false),
                new Way("adaptive, portfolio", adaptive, new QueueOrder.LeastSlack(), true));
    }

    private static void print(Way way, double load) {
        double attainment = 0;
        double worst = 0;
        double goodput = 0;
        double wasted = 0;
        for (long seed : SEEDS) {
            ModelSettings settings =
                    new ModelSettings(
                            way.style(), way.order(), way.portfolio(), load, SLOW_FACTOR, seed);
            ModelResult result = QueueingModel.run(settings);
            attainment += result.attainment() / SEEDS.length;
            worst += result.worstWorkspace() / SEEDS.length;
            goodput += result.goodput(settings) / SEEDS.length;
            wasted += result.wastedShare() / SEEDS.length;
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %.0f %% | %.2f %% | %.2f %% | %.1f %% | %.2f %% |%n",
                way.name(),
                100 * load,
                100 * attainment,
                100 * worst,
                100 * goodput,
                100 * wasted);
    }
}
