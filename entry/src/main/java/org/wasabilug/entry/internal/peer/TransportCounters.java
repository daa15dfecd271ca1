package org.wasabilug.entry.internal.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counters of a transport. Safe for use by several threads. */
final class TransportCounters {
    private final LongAdder mSent = new LongAdder();
    private final LongAdder mDropped = new LongAdder();
    private final LongAdder mReceived = new LongAdder();
    private final LongAdder mClosedAfterErrors = new LongAdder();

    void sent() {
        mSent.increment();
    }

    void dropped() {
        mDropped.increment();
    }

    void received() {
        mReceived.increment();
    }

    void connectionClosedAfterError() {
        mClosedAfterErrors.increment();
    }

    PeerTransportCounts counts() {
        return new PeerTransportCounts(
                mSent.sum(), mDropped.sum(), mReceived.sum(), mClosedAfterErrors.sum());
    }
}
