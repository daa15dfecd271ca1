package org.wasabilug.gateway.internal.peer;

import java.util.HashSet;
import java.util.Set;
import org.wasabilug.internal.serving.CrashObservation;
import org.wasabilug.messages.gateway.CrashAcquittal;
import org.wasabilug.messages.gateway.CrashReport;

/** Converts crashes and acquittals to messages and back. */
final class CrashMessages {
    private CrashMessages() {}

    static CrashReport report(CrashObservation observation, long nowMillis) {
        return CrashReport.newBuilder()
                .setFingerprint(observation.content())
                .setEndpoint(observation.endpoint())
                .setFailureDomain(observation.failureDomain())
                .setService(observation.service())
                .setAgeMilliseconds(nowMillis - observation.crashedMillis())
                .setWorkspace(observation.workspace())
                .addAllParts(observation.parts())
                .build();
    }

    /** Returns the crash of a report; one of an older sender has neither service nor parts. */
    static CrashObservation observation(CrashReport report, long nowMillis) {
        return new CrashObservation(
                report.getEndpoint(),
                report.getFailureDomain(),
                report.getService(),
                nowMillis - report.getAgeMilliseconds(),
                report.getWorkspace(),
                report.getFingerprint(),
                new HashSet<>(report.getPartsList()));
    }

    static CrashAcquittal acquittal(Set<Long> features, long answerAgeMillis) {
        return CrashAcquittal.newBuilder()
                .addAllFeatures(features)
                .setAgeMilliseconds(answerAgeMillis)
                .build();
    }
}
