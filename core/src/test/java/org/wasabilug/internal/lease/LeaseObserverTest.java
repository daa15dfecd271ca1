package org.wasabilug.internal.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.Row;

class LeaseObserverTest {
    private static final InstanceName HOLDER = new InstanceName("entry-1");
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final LeaseObserver mObserver = new LeaseObserver(LeaseSettings.DEFAULT);

    private void observe(long epoch, long version, long atSeconds) {
        LeaseRow value = new LeaseRow(epoch, "process", 9_000, false);
        Row row = new Row(LeaseRow.keyOf(HOLDER), RowJson.write(value), version);
        mObserver.observe(
                HOLDER, Optional.of(row), atSeconds * SECOND_NANOS, atSeconds * SECOND_NANOS);
    }

    @Test
    void reportsSessionAsEndedAfterTermAndMarginWithoutChange() {
        observe(1, 1, 0);
        observe(1, 1, 10);
        boolean early = mObserver.endedSince(HOLDER, 1).isPresent();

        observe(1, 1, 11);

        assertThat(early).isFalse();
        assertThat(mObserver.endedSince(HOLDER, 1)).hasValue(11 * SECOND_NANOS);
    }

    @Test
    void reportsNothingAboutSessionsLaterThanTheObservedOne() {
        observe(1, 1, 0);
        observe(1, 1, 20);

        assertThat(mObserver.endedSince(HOLDER, 2)).isEmpty();
    }

    @Test
    void restartsTheWaitAfterRenewal() {
        observe(1, 1, 0);
        observe(1, 2, 9);
        observe(1, 2, 19);

        assertThat(mObserver.endedSince(HOLDER, 1)).isEmpty();
    }
}
