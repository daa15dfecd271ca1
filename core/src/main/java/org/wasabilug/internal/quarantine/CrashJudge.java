package org.wasabilug.internal.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;

/**
 * Works out from crashes which contents caused them.
 *
 * <p>A content is condemned where it is the only one that ran at two crashes. A crash that a
 * condemned content explains speaks against nobody else. Contents that ran together at two
 * unexplained crashes can't be told apart; none of them runs again while the evidence lasts, since
 * a third endpoint must not fall. Many endpoints of one failure domain that end within a moment,
 * without one content at all of them, fell for another reason.
 */
final class CrashJudge {
    private final QuarantineSettings mSettings;
    private final Function<EndpointName, Optional<FailureDomainName>> mDomains;

    /** Contents that must not run, and those that must run apart. */
    record Judgement(Set<Long> quarantined, Set<Long> suspects) {}

    CrashJudge(
            QuarantineSettings settings,
            Function<EndpointName, Optional<FailureDomainName>> domains) {
        mSettings = settings;
        mDomains = domains;
    }

    Judgement judge(List<Crash> crashes) {
        List<Crash> counted = withoutMassEvents(crashes);
        Map<Long, List<Crash>> byFingerprint = new HashMap<>();
        for (Crash crash : counted) {
            for (long fingerprint : crash.mFingerprints) {
                byFingerprint.computeIfAbsent(fingerprint, key -> new ArrayList<>()).add(crash);
            }
        }
        Set<Long> condemned = new HashSet<>();
        byFingerprint.forEach(
                (fingerprint, own) -> {
                    if (isOnlyCommonOne(fingerprint, own)) {
                        condemned.add(fingerprint);
                    }
                });
        Set<Long> suspects = new HashSet<>();
        Set<Long> quarantined = new HashSet<>(condemned);
        byFingerprint.forEach(
                (fingerprint, own) -> {
                    long unexplained =
                            own.stream().filter(crash -> !isExplained(crash, condemned)).count();
                    if (unexplained >= 2) {
                        quarantined.add(fingerprint);
                    } else if (unexplained == 1) {
                        suspects.add(fingerprint);
                    }
                });
        suspects.removeAll(quarantined);
        return new Judgement(quarantined, suspects);
    }

    private boolean isOnlyCommonOne(long fingerprint, List<Crash> crashes) {
        for (int first = 0; first < crashes.size(); first++) {
            for (int second = first + 1; second < crashes.size(); second++) {
                if (crashes.get(first).sharesOnly(fingerprint, crashes.get(second))) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean isExplained(Crash crash, Set<Long> condemned) {
        return crash.mFingerprints.stream().anyMatch(condemned::contains);
    }

    private List<Crash> withoutMassEvents(List<Crash> crashes) {
        return crashes.stream().filter(crash -> !isPartOfMassEvent(crash, crashes)).toList();
    }

    private boolean isPartOfMassEvent(Crash crash, List<Crash> crashes) {
        Optional<FailureDomainName> domain = mDomains.apply(crash.mEndpoint);
        if (domain.isEmpty()) {
            return false;
        }
        long window = mSettings.massWindow().toNanos();
        List<Crash> together =
                crashes.stream()
                        .filter(other -> Math.abs(other.mTimeNanos - crash.mTimeNanos) <= window)
                        .filter(other -> mDomains.apply(other.mEndpoint).equals(domain))
                        .toList();
        long endpoints = together.stream().map(other -> other.mEndpoint).distinct().count();
        return endpoints >= mSettings.massEndpoints() && !haveCommonContent(together);
    }

    private boolean haveCommonContent(List<Crash> crashes) {
        Set<Long> common = new HashSet<>(crashes.getFirst().mFingerprints);
        crashes.forEach(crash -> common.retainAll(crash.mFingerprints));
        return !common.isEmpty();
    }
}
