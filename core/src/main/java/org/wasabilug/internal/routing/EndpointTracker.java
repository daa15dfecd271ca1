package org.wasabilug.internal.routing;

import org.wasabilug.internal.grant.ColdStartGate;
import org.wasabilug.model.Endpoint;
import org.wasabilug.port.LoadReport;

/** State of one endpoint as known to this instance. */
final class EndpointTracker {
    private final LoadEstimate mLoad;
    private final ServiceTime mServiceTime = new ServiceTime();
    private final AdaptiveLimit mLimit;
    private final EndpointHealth mHealth;
    private final ReturnRamp mRamp;
    private Endpoint mEndpoint;
    private int mSuspects;
    private boolean mCold;
    private boolean mReported;
    private boolean mUsable;
    private boolean mUsedBefore;
    private long mGeneration;

    EndpointTracker(Endpoint endpoint, RoutingSettings settings) {
        mEndpoint = endpoint;
        mLoad = new LoadEstimate(settings.reportExpiry().toNanos());
        mLimit = new AdaptiveLimit(endpoint.concurrencyLimit());
        mHealth =
                new EndpointHealth(
                        settings.ejectionTime().toNanos(),
                        settings.maximumEjectionTime().toNanos());
        mRamp = new ReturnRamp(settings.rampTime().toNanos());
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    /**
     * Applies the configured state. An endpoint that becomes usable again returns with a ramp-up.
     */
    void configure(Endpoint endpoint, boolean usable, long nowNanos) {
        mEndpoint = endpoint;
        mLimit.setMaximum(endpoint.concurrencyLimit());
        if (usable && !mUsable && mUsedBefore) {
            mRamp.start(nowNanos);
        }
        mUsable = usable;
        mUsedBefore = mUsedBefore || usable;
    }

    boolean isUsable() {
        return mUsable;
    }

    /** Applies a load report and returns whether it comes from a new incarnation of the process. */
    boolean applyReport(LoadReport report, long nowNanos) {
        boolean restarted = mReported && report.generation() != mGeneration;
        if (restarted) {
            mServiceTime.reset();
        }
        if (mCold && !report.cold()) {
            mRamp.start(nowNanos);
        }
        mCold = report.cold();
        mGeneration = report.generation();
        mReported = true;
        mLoad.applyReport(report, nowNanos);
        return restarted;
    }

    void dispatched(boolean suspect, long nowNanos) {
        mLoad.changeLocal(1, nowNanos);
        mSuspects += suspect ? 1 : 0;
    }

    void released(boolean suspect, long nowNanos) {
        mLoad.changeLocal(-1, nowNanos);
        mSuspects -= suspect ? 1 : 0;
    }

    /** Returns whether one more attempt may be sent to the endpoint. */
    boolean hasCapacity(boolean suspect, int instances, ColdStartGate gate, long nowNanos) {
        int local = mLoad.local();
        if (suspect && mSuspects > 0) {
            return false;
        }
        return switch (mHealth.state(nowNanos)) {
            case EJECTED -> false;
            case ON_TRIAL -> local == 0 && gate.allowance(mEndpoint, nowNanos) > 0;
            case USABLE ->
                    local < gate.allowance(mEndpoint, nowNanos)
                            && isBelowLimit(instances, nowNanos);
        };
    }

    private boolean isBelowLimit(int instances, long nowNanos) {
        double limit = Math.max(1, mLimit.limit() * mRamp.share(nowNanos));
        if (mLoad.isFresh(nowNanos)) {
            return mLoad.total(nowNanos) + 1 <= limit;
        }
        // Without a recent report the load of other instances is unknown, so only an equal share is
        // safe.
        return mLoad.local() < Math.max(1, Math.ceil(limit / instances));
    }

    /** Returns the predicted duration of one more call, in nanoseconds. */
    double predictedNanos(double poolNanos, long nowNanos) {
        double load = mLoad.total(nowNanos) / (mLimit.limit() * mRamp.share(nowNanos));
        return mServiceTime.nanos(poolNanos, nowNanos) * (1 + load);
    }

    /** Returns the estimated share of the limit that is in use. */
    double utilization(long nowNanos) {
        return mLoad.total(nowNanos) / mLimit.limit();
    }

    ServiceTime serviceTime() {
        return mServiceTime;
    }

    LoadEstimate load() {
        return mLoad;
    }

    AdaptiveLimit limit() {
        return mLimit;
    }

    EndpointHealth health() {
        return mHealth;
    }

    ReturnRamp ramp() {
        return mRamp;
    }

    boolean isCold() {
        return mCold;
    }
}
