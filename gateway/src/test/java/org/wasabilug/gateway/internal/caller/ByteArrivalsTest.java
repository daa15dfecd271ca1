package org.wasabilug.gateway.internal.caller;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Bytes that are decoded long after they arrived. */
class ByteArrivalsTest {
    private long mNow;
    private final ByteArrivals mArrivals = new ByteArrivals(() -> mNow);

    private void arrive(int undecoded, long now) {
        mNow = now;
        mArrivals.arrived(undecoded);
    }

    /** Guards against the time of old bytes that counts for all that arrives after them. */
    @Test
    void eachByteHasTheTimeOfItsArrival() {
        arrive(10, 100);
        arrive(15, 200);
        mArrivals.decoded(6);
        assertThat(mArrivals.decodedMillis()).isEqualTo(100);
        arrive(8, 300);
        mArrivals.decoded(7);
        assertThat(mArrivals.decodedMillis()).isEqualTo(100);
        mArrivals.decoded(4);
        assertThat(mArrivals.decodedMillis()).isEqualTo(200);
        mArrivals.decoded(0);
        assertThat(mArrivals.decodedMillis()).isEqualTo(300);
    }

    /** Guards against bytes that count twice when the decoder is replaced. */
    @Test
    void bytesThatArePassedOnKeepTheirTime() {
        arrive(10, 100);
        arrive(10, 900);
        mArrivals.decoded(0);
        assertThat(mArrivals.decodedMillis()).isEqualTo(100);
    }

    /** Guards against the loss of bytes when many arrive one by one. */
    @Test
    void manyArrivalsAreAllDecoded() {
        for (int bytes = 1; bytes <= 1_000; bytes++) {
            arrive(bytes, bytes);
        }
        mArrivals.decoded(999);
        assertThat(mArrivals.decodedMillis()).isEqualTo(1);
        mArrivals.decoded(0);
        assertThat(mArrivals.decodedMillis()).isEqualTo(1_000);
    }
}
