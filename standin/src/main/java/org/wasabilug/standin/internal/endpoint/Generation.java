package org.wasabilug.standin.internal.endpoint;

import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.wasabilug.standin.internal.http.ConnectionBrokenException;

/** One process life of an endpoint. Its owner guards it. */
final class Generation {
    private final long mNumber;
    private final SharedKillSwitch mSwitch = KillSwitches.shared("generation");
    private long mWarmAtNanos;
    private int mInFlight;

    Generation(long number, long warmAtNanos) {
        mNumber = number;
        mWarmAtNanos = warmAtNanos;
    }

    long number() {
        return mNumber;
    }

    boolean isCold(long nowNanos) {
        return nowNanos - mWarmAtNanos < 0;
    }

    void turnCold(long warmAtNanos) {
        mWarmAtNanos = warmAtNanos;
    }

    int inFlight() {
        return mInFlight;
    }

    void enter() {
        mInFlight += 1;
    }

    void leave() {
        mInFlight -= 1;
    }

    SharedKillSwitch killSwitch() {
        return mSwitch;
    }

    void crash() {
        mSwitch.abort(new ConnectionBrokenException());
    }
}
