package org.wasabilug.internal.hedge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class FleetResponseTimesTest {
    private final FleetResponseTimes mTimes = new FleetResponseTimes();

    /** Guards against counting a peer's responses again with each of its heartbeats. */
    @Test
    void aReportReplacesTheOneBefore() {
        mTimes.record("route", 10, 0);
        for (int heartbeat = 0; heartbeat < 5; heartbeat++) {
            mTimes.recordReport("peer", report("route", 3.0, 4.0), 0);
        }

        assertThat(mTimes.distribution("route", 0).total()).isEqualTo(8);
    }

    @Test
    void reportsThatCannotBeRightAreIgnored() {
        assertThat(mTimes.recordReport("peer", report("route", -1.0), 0)).isFalse();
        assertThat(mTimes.recordReport("peer", report("route", Double.NaN), 0)).isFalse();
        assertThat(mTimes.recordReport("peer", report("route", Double.NaN, 1.0), 0)).isFalse();
        // Finite, but sums over peers overflow and determine every percentile.
        assertThat(mTimes.recordReport("peer", report("route", 1e308), 0)).isFalse();
        List<Double> tooMany = Collections.nCopies(TimeBuckets.COUNT + 1, 1.0);
        assertThat(mTimes.recordReport("peer", new FleetResponseTimes.Report("route", tooMany), 0))
                .isFalse();

        assertThat(mTimes.distribution("route", 0).total()).isZero();
    }

    @Test
    void whatASilentPeerCountedLosesWeight() {
        mTimes.recordReport("peer", report("route", 100.0), 0);

        assertThat(mTimes.distribution("route", 0).total()).isEqualTo(100);
        assertThat(mTimes.distribution("route", 30_000).total()).isEqualTo(50);
        assertThat(mTimes.distribution("route", 900_000).total()).isLessThan(0.01);
    }

    /** Guards against large heartbeats, and against routes that are never reported. */
    @Test
    void everyRecentRouteIsReportedInTurnWithinTheLimit() {
        Set<String> reported = new TreeSet<>();
        for (long now = 0; now < 6_000; now += 300) {
            for (int route = 0; now == 0 && route < 100; route++) {
                mTimes.record("route-" + route, 10, now);
            }
            List<FleetResponseTimes.Report> reports = mTimes.reports(now);
            assertThat(reports).hasSizeLessThanOrEqualTo(25);
            reports.forEach(each -> reported.add(each.route()));
        }

        assertThat(reported).hasSize(100);
        assertThat(mTimes.reports(60_000)).isEmpty();
    }

    @Test
    void quantilesLieWithinTheirBucket() {
        for (int millis = 1; millis <= 1_000; millis++) {
            mTimes.record("route", millis, 0);
        }

        TimeDistribution times = mTimes.distribution("route", 0);
        assertThat(times.quantileMillis(0.5)).isBetween(480.0, 520.0);
        assertThat(times.quantileMillis(0.95)).isBetween(900.0, 1_024.0);
        assertThat(times.expectedRemainingMillis(500)).isBetween(220.0, 280.0);
        assertThat(times.expectedRemainingMillis(2_000)).isInfinite();
    }

    private static FleetResponseTimes.Report report(String route, Double... counts) {
        return new FleetResponseTimes.Report(route, List.of(counts));
    }
}
