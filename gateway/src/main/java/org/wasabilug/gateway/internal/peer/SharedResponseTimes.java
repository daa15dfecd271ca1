package org.wasabilug.gateway.internal.peer;

import java.util.List;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.hedge.FleetResponseTimes;
import org.wasabilug.messages.gateway.GatewayHeartbeat;
import org.wasabilug.messages.gateway.LatencyReport;

/** Response times that instances exchange in heartbeats while requests may be hedged. */
final class SharedResponseTimes {
    private final GatewayState mState;

    SharedResponseTimes(GatewayState state) {
        mState = state;
    }

    /** Adds what this instance has observed; nothing while hedging is off. */
    void addLatencies(GatewayHeartbeat.Builder heartbeat) {
        if (!mState.hedging().enabled()) {
            return;
        }
        for (FleetResponseTimes.Report report :
                mState.hedging().times().reports(mState.nowMillis())) {
            heartbeat.addLatencies(
                    LatencyReport.newBuilder()
                            .setRoute(report.route())
                            .addAllTimeCounts(report.counts()));
        }
    }

    /** Applies what a peer has observed; nothing is kept while hedging is off. */
    void apply(String sender, GatewayHeartbeat heartbeat) {
        if (!mState.hedging().enabled()) {
            return;
        }
        List<LatencyReport> reports = heartbeat.getLatenciesList();
        for (int index = 0; index < reports.size(); index++) {
            if (index >= FleetResponseTimes.MAX_REPORTED_ROUTES
                    || !apply(sender, reports.get(index))) {
                mState.log()
                        .request(
                                LogLine.of("latencies-unreadable")
                                        .with("instance", sender)
                                        .with("route", reports.get(index).getRoute()));
                return;
            }
        }
    }

    /**
     * Applies a report of a configured route; returns false if it can't be right. A peer may have a
     * configuration with other routes, so a report of an unknown one is no fault.
     */
    private boolean apply(String sender, LatencyReport report) {
        boolean known =
                mState.routes().filter(each -> each.hasRoute(report.getRoute())).isPresent();
        if (!known) {
            return true;
        }
        mState.log().count("latency-reports");
        return mState.hedging()
                .times()
                .recordReport(
                        sender,
                        new FleetResponseTimes.Report(
                                report.getRoute(), report.getTimeCountsList()),
                        mState.nowMillis());
    }
}
