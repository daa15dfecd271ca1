package org.wasabilug.bench.internal.program;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.bench.internal.virtual.Contender;
import org.wasabilug.bench.internal.virtual.Deployment;
import org.wasabilug.bench.internal.virtual.Disturbance;
import org.wasabilug.bench.internal.virtual.Experiment;

/** All combinations of deployment, load or disturbance, and contender. */
final class ExperimentMatrix {
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    private static final List<Contender> CONTENDERS =
            List.of(Contender.product(), Contender.roundRobin(), Contender.leastReportedLoad());
    private static final List<Disturbance> DISTURBANCES =
            List.of(
                    new Disturbance.SlowStage("rerankers", 3),
                    new Disturbance.SlowStage("generators", 1.5),
                    new Disturbance.SlowEndpoint("generators", 3),
                    new Disturbance.FailingEndpoint("generators"),
                    new Disturbance.Burst(2, 2_000),
                    new Disturbance.ColdDomain(),
                    new Disturbance.DomainMove(),
                    new Disturbance.PlatformUnavailable());

    private ExperimentMatrix() {}

    static List<Experiment> of(BenchSettings settings) {
        List<Experiment> experiments = new ArrayList<>();
        for (Deployment deployment : settings.deployments()) {
            for (double load : settings.loads()) {
                add(experiments, settings, deployment, load, new Disturbance.None());
            }
            for (Disturbance disturbance : DISTURBANCES) {
                add(experiments, settings, deployment, settings.disturbedLoad(), disturbance);
            }
        }
        return experiments;
    }

    private static void add(
            List<Experiment> experiments,
            BenchSettings settings,
            Deployment deployment,
            double load,
            Disturbance disturbance) {
        for (Contender contender : CONTENDERS) {
            experiments.add(
                    new Experiment(
                            deployment,
                            contender,
                            load,
                            disturbance,
                            settings.seed(),
                            settings.seconds() * MILLISECONDS_PER_SECOND));
        }
    }
}
