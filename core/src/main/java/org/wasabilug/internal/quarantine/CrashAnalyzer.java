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
 * Infers from crashes which contents caused them.
 *
 * <p>A content is a culprit if it is the only one that two crashes have in common. A crash that a
 * culprit explains is no evidence against other contents. Contents that ran together at two
 * unexplained crashes can't be distinguished; all of them are quarantined until the evidence
 * expires, since a third endpoint must not crash. While it is not yet known whether a lost
 * connection was a crash, a content that it would incriminate has to wait. If many endpoints of one
 * failure domain crash at about the same time and no single content ran at all of them, they are
 * assumed to have another cause and are ignored.
 */
final class CrashAnalyzer {
    /** Maximum delay until a restart becomes visible in a load report. */
    private static final long REPORT_LAG_NANOS = 2_000_000_000L;

    private final QuarantineSettings mSettings;
    private final Function<EndpointName, Optional<FailureDomainName>> mDomains;

    /** Contents that must not run, that must wait, and that must not run beside other suspects. */
    record Classification(Set<Long> quarantined, Set<Long> waiting, Set<Long> suspects) {}

    CrashAnalyzer(
            QuarantineSettings settings,
            Function<EndpointName, Optional<FailureDomainName>> domains) {
        mSettings = settings;
        mDomains = domains;
    }

    /**
     * Classifies all contents.
     *
     * @param crashes all crashes and lost connections that may be crashes
     * @param restarts time of the last restart seen of each endpoint, in monotonic nanoseconds
     * @return the classification
     */
    Classification analyze(List<Crash> crashes, Map<EndpointName, Long> restarts) {
        List<Crash> relevant =
                crashes.stream()
                        .filter(crash -> !isPartOfMassEvent(crash, crashes, restarts))
                        .toList();
        Classification possible = analyze(relevant);
        Classification certain =
                analyze(relevant.stream().filter(crash -> crash.mConfirmed).toList());
        Set<Long> waiting = new HashSet<>(possible.quarantined());
        waiting.removeAll(certain.quarantined());
        Set<Long> suspects = new HashSet<>(possible.suspects());
        suspects.addAll(waiting);
        suspects.removeAll(certain.quarantined());
        return new Classification(certain.quarantined(), waiting, suspects);
    }

    private Classification analyze(List<Crash> relevant) {
        Map<Long, List<Crash>> byFingerprint = new HashMap<>();
        for (Crash crash : relevant) {
            for (long fingerprint : crash.mFingerprints) {
                byFingerprint.computeIfAbsent(fingerprint, key -> new ArrayList<>()).add(crash);
            }
        }
        Set<Long> culprits = new HashSet<>();
        byFingerprint.forEach(
                (fingerprint, itsCrashes) -> {
                    if (isOnlyCommonContent(fingerprint, itsCrashes)) {
                        culprits.add(fingerprint);
                    }
                });
        Set<Long> suspects = new HashSet<>();
        Set<Long> quarantined = new HashSet<>(culprits);
        byFingerprint.forEach(
                (fingerprint, itsCrashes) -> {
                    long unexplained =
                            itsCrashes.stream()
                                    .filter(crash -> !isExplained(crash, culprits))
                                    .count();
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

    private boolean isExplained(Crash crash, Set<Long> culprits) {
        return crash.mFingerprints.stream().anyMatch(culprits::contains);
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
