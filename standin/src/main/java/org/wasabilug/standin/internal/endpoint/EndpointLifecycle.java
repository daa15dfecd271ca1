package org.wasabilug.standin.internal.endpoint;

import java.util.concurrent.TimeUnit;
import org.wasabilug.endpoint.wire.StageCallBody;
import org.wasabilug.port.LoadReport;
import org.wasabilug.standin.EndpointCounts;
import org.wasabilug.standin.EndpointFaults;

/**
 * Simulated process lifecycle of an endpoint: its generations, calls in flight, crashes and faults.
 */
public final class EndpointLifecycle {
    private final EndpointSettings mSettings;
    private final CallCounters mCounters = new CallCounters();
    private final LoadReportHistory mReports = new LoadReportHistory();
    private EndpointFaults mFaults = EndpointFaults.none();
    private Generation mGeneration;

    /**
     * Starts the first generation.
     *
     * @param settings fixed properties
     * @param nowNanos current time, monotonic, in nanoseconds
     */
    public EndpointLifecycle(EndpointSettings settings, long nowNanos) {
        mSettings = settings;
        long coldNanos = settings.startsCold() ? settings.coldStartNanos() : 0;
        mGeneration = new Generation(settings.firstGeneration(), nowNanos + coldNanos);
    }

    /** Replaces all faults. */
    public synchronized void setFaults(EndpointFaults faults) {
        mFaults = faults;
    }

    /** Returns the current faults. */
    public synchronized EndpointFaults faults() {
        return mFaults;
    }

    /**
     * Begins a cold start within the same generation.
     *
     * @param nowNanos current time, monotonic, in nanoseconds
     */
    public synchronized void turnCold(long nowNanos) {
        mGeneration.turnCold(nowNanos + mSettings.coldStartNanos());
    }

    /**
     * Ends the generation, aborts its answers and starts a new, cold generation.
     *
     * @param nowNanos current time, monotonic, in nanoseconds
     */
    public synchronized void crash(long nowNanos) {
        Generation ended = mGeneration;
        mCounters.recordCrash();
        mGeneration = new Generation(ended.number() + 1, nowNanos + mSettings.coldStartNanos());
        ended.crash();
    }

    /** Returns the counters since the start. */
    public synchronized EndpointCounts counts() {
        return mCounters.counts();
    }

    /** Returns the number of calls received for one stage of one request. */
    public synchronized int receivedCalls(String request, String stage) {
        return mCounters.receivedCalls(request, stage);
    }

    /**
     * Returns the load report to send, as old as the report lag of the faults.
     *
     * @param nowNanos current time, monotonic, in nanoseconds
     */
    public synchronized LoadReport report(long nowNanos) {
        recordReport(nowNanos);
        long lagNanos = TimeUnit.MILLISECONDS.toNanos(mFaults.reportLagMilliseconds());
        return mReports.at(nowNanos - lagNanos, nowNanos);
    }

    /**
     * Returns the current load, unaffected by faults.
     *
     * @param nowNanos current time, monotonic, in nanoseconds
     */
    public synchronized LoadReport load(long nowNanos) {
        return currentReport(nowNanos, mGeneration.isCold(nowNanos));
    }

    synchronized Admission admit(StageCallBody call) {
        if (mFaults.refusing()) {
            mCounters.recordRefused();
            return new Admission.Refused();
        }
        mCounters.recordReceived(call.request(), call.stage());
        return new Admission.Accepted(mGeneration, call, paceFactor(mGeneration.inFlight() + 1));
    }

    /**
     * Starts processing a call, on the first demand for its answer. An answer without demand,
     * because its connection closed earlier, never starts.
     *
     * @return false if the generation that accepted the call has crashed
     */
    synchronized boolean start(Admission.Accepted accepted, Runnable abort, long nowNanos) {
        Generation generation = accepted.generation();
        boolean cold = generation.isCold(nowNanos);
        generation.addCall(abort);
        mCounters.recordInFlight(generation.inFlight(), cold, mSettings.coldLimit());
        boolean crashes = isPoison(accepted.call()) || fallsOver(cold, generation);
        if (crashes && generation == mGeneration) {
            crash(nowNanos);
        }
        recordReport(nowNanos);
        return !generation.isCrashed();
    }

    synchronized void end(Generation generation, Runnable abort, boolean complete, long nowNanos) {
        generation.removeCall(abort);
        mCounters.recordEnd(complete);
        recordReport(nowNanos);
    }

    private boolean isPoison(StageCallBody call) {
        return !mFaults.poisonMarker().isEmpty() && call.input().contains(mFaults.poisonMarker());
    }

    private boolean fallsOver(boolean cold, Generation generation) {
        return mSettings.fallsOver() && cold && generation.inFlight() > mSettings.coldLimit();
    }

    private double paceFactor(int inFlight) {
        double utilization = inFlight / (double) mSettings.concurrency();
        return mFaults.slowFactor() * Math.max(1, utilization);
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
