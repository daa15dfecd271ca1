package org.wasabilug.bench.internal.program;

import java.nio.file.Path;
import java.util.List;
import org.wasabilug.bench.internal.virtual.Deployment;

/**
 * Settings of a run of experiments.
 *
 * @param deployments deployments to load
 * @param loads arrivals as shares of capacity, each without a disturbance
 * @param disturbedLoad the same for the runs with a disturbance
 * @param seed seed of all runs
 * @param seconds length of the measured window, in seconds of virtual time
 * @param directory where the report goes
 */
public record BenchSettings(
        List<Deployment> deployments,
        List<Double> loads,
        double disturbedLoad,
        long seed,
        long seconds,
        Path directory) {}
