package org.wasabilug.standin.internal.endpoint;

import java.util.concurrent.TimeUnit;
import org.wasabilug.endpoint.wire.StageCallBody;
import org.wasabilug.port.LoadReport;
import org.wasabilug.standin.EndpointCounts;
import org.wasabilug.standin.EndpointFaults;

/** Life of an endpoint: its generations, its calls in flight, its crashes and its faults. */
public final class EndpointLife {
    private final EndpointSettings mSettings;
    private final CallLog mLog = new CallLog();
    private final ReportHistory mReports = new ReportHistory();
    private EndpointFaults mFaults = EndpointFaults.none();
    private Generation mGeneration;

    /**
     * Starts the first generation.
     *
     * @param settings fixed properties
     * @param nowNanos monotonic time in nanoseconds
     */
    public EndpointLife(EndpointSettings settings, long nowNanos) {
        mSettings = settings;
        long coldNanos = settings.startsCold() ? settings.coldStartNanos() : 0;
        mGeneration = new Generation(settings.firstGeneration(), nowNanos + coldNanos);
    }

    /**
     * Replaces all faults.
     *
     * @param faults faults from now on
     */
    public synchronized void setFaults(EndpointFaults faults) {
        mFaults = faults;
    }

    /**
     * The faults of the moment.
     *
     * @return the faults as they were set
     */
    public synchronized EndpointFaults faults() {
        return mFaults;
    }

    /**
     * Turns cold again within the same generation.
     *
     * @param nowNanos monotonic time in nanoseconds
     */
    public synchronized void turnCold(long nowNanos) {
        mGeneration.turnCold(nowNanos + mSettings.coldStartNanos());
    }

    /**
     * Ends the generation, cuts its answers and starts a cold one.
     *
     * @param nowNanos monotonic time in nanoseconds
     */
    public synchronized void crash(long nowNanos) {
        Generation ended = mGeneration;
        mLog.crashed();
        mGeneration = new Generation(ended.number() + 1, nowNanos + mSettings.coldStartNanos());
        ended.crash();
    }

    /**
     * Counts.
     *
     * @return counts since the start
     */
    public synchronized EndpointCounts counts() {
        return mLog.counts();
    }

    /**
     * Calls received for one stage of one request.
     *
     * @param request id of the request
     * @param stage name of the stage
     * @return how many
     */
    public synchronized int receivedOf(String request, String stage) {
        return mLog.receivedOf(request, stage);
    }

    /**
     * The load report as it is shown now.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @return the report, as old as the faults say
     */
    public synchronized LoadReport report(long nowNanos) {
        recordReport(nowNanos);
        long lagNanos = TimeUnit.MILLISECONDS.toNanos(mFaults.reportLagMilliseconds());
        return mReports.at(nowNanos - lagNanos, nowNanos);
    }

    /**
     * The load at this moment, past all faults.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @return the report
     */
    public synchronized LoadReport load(long nowNanos) {
        return currentReport(nowNanos, mGeneration.isCold(nowNanos));
    }

    synchronized Admission admit(StageCallBody call) {
        if (mFaults.refusing()) {
            mLog.refused();
            return new Admission.Refused();
        }
        mLog.received(call.request(), call.stage());
        return new Admission.Running(
                mGeneration,
                call,
                mGeneration.killSwitch(),
                paceFactor(mGeneration.inFlight() + 1));
    }

    /**
     * Starts the work of a call. An answer that nobody asks for, as the connection closed before,
     * never starts.
     */
    synchronized void start(Admission.Running running, long nowNanos) {
        Generation generation = running.generation();
        boolean cold = generation.isCold(nowNanos);
        generation.enter();
        mLog.inFlight(generation.inFlight(), cold, mSettings.coldLimit());
        boolean crashes = isPoison(running.call()) || fallsOver(cold, generation);
        if (crashes && generation == mGeneration) {
            crash(nowNanos);
        }
        recordReport(nowNanos);
    }

    synchronized void end(Generation generation, boolean complete, long nowNanos) {
        generation.leave();
        mLog.ended(complete);
        recordReport(nowNanos);
    }

    private boolean isPoison(StageCallBody call) {
        return !mFaults.poisonMarker().isEmpty() && call.input().contains(mFaults.poisonMarker());
    }

    private boolean fallsOver(boolean cold, Generation generation) {
        return mSettings.fallsOver() && cold && generation.inFlight() > mSettings.coldLimit();
    }

    private double paceFactor(int inFlight) {
        double crowding = inFlight / (double) mSettings.concurrency();
        return mFaults.slowFactor() * Math.max(1, crowding);
    }

    private void recordReport(long nowNanos) {
        boolean cold = mGeneration.isCold(nowNanos) && !mFaults.hidesCold();
        mReports.add(nowNanos, currentReport(nowNanos, cold));
    }

    private LoadReport currentReport(long nowNanos, boolean cold) {
        int queued = Math.max(0, mGeneration.inFlight() - mSettings.concurrency());
        return new LoadReport(mGeneration.number(), cold, mGeneration.inFlight(), queued, 0);
    }
}
