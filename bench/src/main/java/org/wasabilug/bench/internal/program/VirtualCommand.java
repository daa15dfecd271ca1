package org.wasabilug.bench.internal.program;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.wasabilug.bench.internal.report.ReportFiles;
import org.wasabilug.bench.internal.report.ResultRow;
import org.wasabilug.bench.internal.virtual.Experiment;
import org.wasabilug.bench.internal.virtual.VirtualRun;

/** Runs the experiments one after another and writes the report, also when interrupted. */
public final class VirtualCommand {
    private final BenchSettings mSettings;
    private final PrintStream mProgress;
    private final List<ResultRow> mRows = new ArrayList<>();
    private boolean mStopping;
    private boolean mWritten;

    /**
     * Prepares the command.
     *
     * @param settings what to run and where the report goes
     * @param progress receives a line for each experiment
     */
    public VirtualCommand(BenchSettings settings, PrintStream progress) {
        mSettings = settings;
        mProgress = progress;
    }

    /** Runs all experiments and writes the report. */
    public void run() {
        List<Experiment> experiments = ExperimentMatrix.of(mSettings);
        for (Experiment experiment : experiments) {
            if (!runNext(experiment, experiments.size())) {
                return;
            }
        }
        write(true);
    }

    private boolean runNext(Experiment experiment, int count) {
        ResultRow row = ResultRow.of(experiment, new VirtualRun(experiment).run());
        return keep(row, count);
    }

    private synchronized boolean keep(ResultRow row, int count) {
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

    /** Writes what there is, where the whole report was not yet written. */
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
