package org.wasabilug.internal.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.OperationId;

class InstanceListReaderTest {
    private static final long LEAVING_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int FAILURES = 20;

    private final InstanceListReader mReader =
            new InstanceListReader(RandomSource.SPLIT_MIX_64.create(1));

    private OperationId read(long nowNanos) {
        return ((InstanceAction.ReadInstanceList) mReader.tick(nowNanos).orElseThrow()).operation();
    }

    @Test
    void readsTheListImmediatelyWhenTheInstanceStarts() {
        assertThat(mReader.tick(0)).get().isInstanceOf(InstanceAction.ReadInstanceList.class);
    }

    @Test
    void retriesOftenEnoughToNoticeLeavingEndpointsAfterALongOutage() {
        long nowNanos = 0;

        for (int failure = 0; failure < FAILURES; failure++) {
            mReader.onAnswer(read(nowNanos), false, 1, nowNanos);
            assertThat(mReader.nextReadNanos() - nowNanos).isLessThan(LEAVING_LIMIT_NANOS);
            nowNanos = mReader.nextReadNanos();
        }
    }
}
