package org.wasabilug.internal.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import org.wasabilug.internal.rollout.VersionAnalysis.Finding;

/** Derives the verdict on a version from the counts since the order and those of late. */
final class VerdictTracker {
    /**
     * Many good responses hide a version that turns bad, so the latest ones are judged apart from
     * the sum. The window is long enough for a few responses of each route.
     */
    private static final long WINDOW_MILLIS = 10_000;

    private static final long SNAPSHOT_MILLIS = 1_000;

    /** Responses of the old version in the window from which it is compared with that window. */
    private static final long MIN_WINDOW_RESPONSES = 50;

    /** With fewer, a share of one bad response in a hundred can't be told from none. */
    private static final long USUAL_RESPONSES = 100;

    private static final long MIN_RESPONSES = 10;
    private static final long MIN_ROUTE_RESPONSES = 5;
    private static final long BUSY_ROUTE_RESPONSES = 50;

    /** Shortest trial: this time or this part of the duration, whichever is shorter. */
    private static final long MAX_TRIAL_MILLIS = 10_000;

    private static final double USUAL_PART = 0.15;

    /** Parts of the duration after which fewer responses have to do. */
    private static final double FEW_RESPONSES_PART = 0.4;

    private static final double LAST_PART = 0.5;

    private final Deque<Snapshot> mSnapshots = new ArrayDeque<>();

    private record Snapshot(long millis, OutcomeCounts candidate, OutcomeCounts baseline) {}

    /**
     * Compares the versions by all counts, and by the latest ones.
     *
     * @param moved whether the candidate gets all traffic, so that its latest responses are of
     *     another period than those of the old version
     * @param nowMillis current monotonic time, in milliseconds
     */
    Finding compare(
            OutcomeCounts candidate, OutcomeCounts baseline, boolean moved, long nowMillis) {
        Finding whole = VersionAnalysis.compare(candidate, baseline, !moved);
        Snapshot start = windowStart(candidate, baseline, nowMillis);
        OutcomeCounts recent = candidate.since(start.candidate());
        OutcomeCounts reference = baseline.since(start.baseline());
        boolean samePeriod = !moved && reference.ended() >= MIN_WINDOW_RESPONSES;
        Finding late =
                VersionAnalysis.compare(recent, samePeriod ? reference : baseline, samePeriod);
        return whole.worse(late);
    }

    private Snapshot windowStart(OutcomeCounts candidate, OutcomeCounts baseline, long nowMillis) {
        if (mSnapshots.isEmpty() || nowMillis - mSnapshots.getLast().millis() >= SNAPSHOT_MILLIS) {
            mSnapshots.addLast(new Snapshot(nowMillis, candidate.copy(), baseline.copy()));
        }
        while (mSnapshots.size() > 1
                && nowMillis - mSnapshots.getFirst().millis() > WINDOW_MILLIS) {
            mSnapshots.removeFirst();
        }
        return mSnapshots.getFirst();
    }

    /**
     * Returns whether there are enough responses to call a version good that is not suspect. The
     * later it is, the fewer suffice, so that a quiet service is judged before the deadline too.
     *
     * @param elapsedMillis time since the order
     * @param durationMillis time from the order to the deadline
     */
    static boolean suffice(
            OutcomeCounts candidate,
            OutcomeCounts baseline,
            long elapsedMillis,
            long durationMillis) {
        double part = (double) elapsedMillis / durationMillis;
        long responses = candidate.ended();
        if (part >= LAST_PART) {
            return responses > 0;
        }
        if (part >= FEW_RESPONSES_PART) {
            return responses >= MIN_RESPONSES;
        }
        boolean tried = elapsedMillis >= MAX_TRIAL_MILLIS || part >= USUAL_PART;
        return tried && responses >= USUAL_RESPONSES && coversRoutes(candidate, baseline);
    }

    private static boolean coversRoutes(OutcomeCounts candidate, OutcomeCounts baseline) {
        for (int route = 0; route < OutcomeCounts.MAX_ROUTES; route++) {
            if (baseline.ended(route) >= BUSY_ROUTE_RESPONSES
                    && candidate.ended(route) < MIN_ROUTE_RESPONSES) {
                return false;
            }
        }
        return true;
    }
}
