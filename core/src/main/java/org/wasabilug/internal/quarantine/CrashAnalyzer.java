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
 * a third endpoint must not fall. While it is not yet known whether a lost connection was a crash,
 * a content that would be condemned by it waits. Many endpoints of one failure domain that end
 * within a moment, without one content at all of them, fell for another reason.
 */
final class CrashAnalyzer {
    /** A restart shows in a report this much later. */
    private static final long REPORT_LAG_NANOS = 2_000_000_000L;

    private final QuarantineSettings mSettings;
    private final Function<EndpointName, Optional<FailureDomainName>> mDomains;

    /** Contents that must not run, those that must wait, and those that must run apart. */
    record Classification(Set<Long> quarantined, Set<Long> waiting, Set<Long> suspects) {}

    CrashAnalyzer(
            QuarantineSettings settings,
            Function<EndpointName, Optional<FailureDomainName>> domains) {
        mSettings = settings;
        mDomains = domains;
    }

    /**
     * Judges all contents.
     *
     * @param crashes every crash and lost connection
     * @param restarts when each endpoint was last seen in a new life
     * @return the judgement
     */
    Classification analyze(List<Crash> crashes, Map<EndpointName, Long> restarts) {
        List<Crash> counted =
                crashes.stream()
                        .filter(crash -> !isPartOfMassEvent(crash, crashes, restarts))
                        .toList();
        Classification possible = analyze(counted);
        Classification certain =
                analyze(counted.stream().filter(crash -> crash.mConfirmed).toList());
        Set<Long> waiting = new HashSet<>(possible.quarantined());
        waiting.removeAll(certain.quarantined());
        Set<Long> suspects = new HashSet<>(possible.suspects());
        suspects.addAll(waiting);
        suspects.removeAll(certain.quarantined());
        return new Classification(certain.quarantined(), waiting, suspects);
    }

    private Classification analyze(List<Crash> counted) {
        Map<Long, List<Crash>> byFingerprint = new HashMap<>();
        for (Crash crash : counted) {
            for (long fingerprint : crash.mFingerprints) {
                byFingerprint.computeIfAbsent(fingerprint, key -> new ArrayList<>()).add(crash);
            }
        }
        Set<Long> condemned = new HashSet<>();
        byFingerprint.forEach(
                (fingerprint, own) -> {
                    if (isOnlyCommonContent(fingerprint, own)) {
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
        return new Classification(quarantined, Set.of(), suspects);
    }

    private boolean isOnlyCommonContent(long fingerprint, List<Crash> crashes) {
        for (int first = 0; first < crashes.size(); first++) {
            for (int second = first + 1; second < crashes.size(); second++) {
                if (crashes.get(first).isOnlyCommonContent(fingerprint, crashes.get(second))) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean isExplained(Crash crash, Set<Long> condemned) {
        return crash.mFingerprints.stream().anyMatch(condemned::contains);
    }

    private boolean isPartOfMassEvent(
            Crash crash, List<Crash> crashes, Map<EndpointName, Long> restarts) {
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
        Set<EndpointName> endpoints = new HashSet<>();
        together.forEach(other -> endpoints.add(other.mEndpoint));
        restarts.forEach(
                (endpoint, seenNanos) -> {
                    long later = seenNanos - crash.mTimeNanos;
                    if (later >= -window
                            && later <= window + REPORT_LAG_NANOS
                            && mDomains.apply(endpoint).equals(domain)) {
                        endpoints.add(endpoint);
                    }
                });
        return endpoints.size() >= mSettings.massEndpoints()
                && !isAtAllEndpoints(together, endpoints);
    }

    private boolean isAtAllEndpoints(List<Crash> together, Set<EndpointName> endpoints) {
        long withContents = together.stream().map(crash -> crash.mEndpoint).distinct().count();
        return withContents == endpoints.size() && haveCommonContent(together);
    }

    private boolean haveCommonContent(List<Crash> crashes) {
        Set<Long> common = new HashSet<>(crashes.getFirst().mFingerprints);
        for (Crash crash : crashes) {
            common.retainAll(crash.mFingerprints);
            if (common.isEmpty()) {
                return false;
            }
        }
        return true;
    }
}
