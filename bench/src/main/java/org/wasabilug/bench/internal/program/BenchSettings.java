package org.wasabilug.bench.internal.program;

import java.nio.file.Path;
import java.util.List;
import org.wasabilug.bench.internal.virtual.Deployment;

/**
 * Settings of the experiments in virtual time.
 *
 * @param deployments deployments to run
 * @param loads arrival rates of the undisturbed runs, as shares of capacity
 * @param disturbedLoad arrival rate of the runs with a disturbance, as a share of capacity
 * @param seed random seed of all runs
 * @param seconds length of the measured window, in seconds of virtual time
 * @param directory directory for the report
 */
public record BenchSettings(
        List<Deployment> deployments,
        List<Double> loads,
        double disturbedLoad,
        long seed,
        long seconds,
        Path directory) {}
