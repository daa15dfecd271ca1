package org.wasabilug.bench.internal.program;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.wasabilug.bench.internal.report.ReportFiles;
import org.wasabilug.bench.internal.report.ResultRow;
import org.wasabilug.bench.internal.virtual.Experiment;
import org.wasabilug.bench.internal.virtual.VirtualRun;

/** Runs the experiments in sequence and writes the report, also if interrupted. */
public final class VirtualCommand {
    private final BenchSettings mSettings;
    private final PrintStream mProgress;
    private final List<ResultRow> mRows = new ArrayList<>();
    private boolean mStopping;
    private boolean mWritten;

    /**
     * Creates the command.
     *
     * @param settings experiments to run and directory of the report
     * @param progress receives a line per completed experiment
     */
    public VirtualCommand(BenchSettings settings, PrintStream progress) {
        mSettings = settings;
        mProgress = progress;
    }

    /** Runs all experiments and writes the report. */
    public void run() {
        List<Experiment> experiments = ExperimentMatrix.of(mSettings);
        for (Experiment experiment : experiments) {
            if (!runExperiment(experiment, experiments.size())) {
                return;
            }
        }
        write(true);
    }

    private boolean runExperiment(Experiment experiment, int count) {
        ResultRow row = ResultRow.of(experiment, new VirtualRun(experiment).run());
        return addRow(row, count);
    }

    private synchronized boolean addRow(ResultRow row, int count) {
        if (mStopping) {
            return false;
        }
        mRows.add(row);
        mProgress.printf(
                "%d of %d: %s, %s, load %.2f, %s: in time %.4f, goodput %.4f, wasted %.4f%n",
                mRows.size(),
                count,
                row.deployment(),
                row.disturbance(),
                row.load(),
                row.contender(),
                row.figures().answeredInTime(),
                row.figures().goodput(),
                row.figures().wasted());
        return true;
    }

    /** Stops the run; writes a report of the completed experiments if none has been written. */
    public synchronized void interrupt() {
        mStopping = true;
        if (!mWritten) {
            write(false);
        }
    }

    private synchronized void write(boolean complete) {
        ReportFiles.write(mRows, complete, mSettings.directory());
        mWritten = true;
        mProgress.println(
                (complete ? "Report of all " : "Interrupted; report of the first ")
                        + mRows.size()
                        + " experiments: "
                        + mSettings.directory().resolve("report.md"));
    }
}
