package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Services whose endpoints currently announce that they fall over when they have to reject more
 * than a number of requests within a second.
 */
public final class BrittleServices {
    /** Outlasts the longest time for which sends to an endpoint are held back. */
    private static final long ANSWER_VALID_MILLIS = 60_000;

    private static final long PEER_REPORT_VALID_MILLIS = 5_000;

    /** Age up to which an announcement is reported to peers. */
    private static final long REPORTED_MILLIS = 5_000;

    /** Answers may overtake each other, so an announcement outlasts an answer without one. */
    private static final long REORDERING_MILLIS = 1_000;

    private final Map<String, Announcement> mByAnswers = new HashMap<>();
    private final Map<String, Announcement> mByPeers = new HashMap<>();

    private record Announcement(int rejectionsPerSecond, long untilMillis) {
        boolean current(long nowMillis) {
            return nowMillis < untilMillis;
        }
    }

    /**
     * Records an answer of an endpoint.
     *
     * @param service service of the endpoint
     * @param rejectionsPerSecond rejections that the endpoint tolerates; empty if it announces none
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if the service was not known to be brittle
     */
    public boolean recordAnswer(
            String service, Optional<Integer> rejectionsPerSecond, long nowMillis) {
        boolean known = rejectionsPerSecond(service, nowMillis).isPresent();
        if (rejectionsPerSecond.isPresent()) {
            long until = nowMillis + ANSWER_VALID_MILLIS;
            mByAnswers.put(service, new Announcement(rejectionsPerSecond.get(), until));
            return !known;
        }
        mByAnswers.computeIfPresent(service, (name, last) -> expireSoon(last, nowMillis));
        mByPeers.computeIfPresent(service, (name, last) -> expireSoon(last, nowMillis));
        return false;
    }

    private static Announcement expireSoon(Announcement last, long nowMillis) {
        long until = Math.min(last.untilMillis, nowMillis + REORDERING_MILLIS);
        return last.current(nowMillis) ? new Announcement(last.rejectionsPerSecond, until) : null;
    }

    /**
     * Records that a peer has received an announcement.
     *
     * @param service service of the endpoints
     * @param rejectionsPerSecond rejections that each endpoint tolerates
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if the service was not known to be brittle
     */
    public boolean recordPeerReport(String service, int rejectionsPerSecond, long nowMillis) {
        boolean known = rejectionsPerSecond(service, nowMillis).isPresent();
        long until = nowMillis + PEER_REPORT_VALID_MILLIS;
        mByPeers.put(service, new Announcement(rejectionsPerSecond, until));
        return !known;
    }

    /**
     * Returns how many requests an endpoint may reject within a second before it falls over.
     *
     * @param service service of the endpoint
     * @param nowMillis current monotonic time, in milliseconds
     * @return the number, or empty if the endpoints of the service are not brittle
     */
    public Optional<Integer> rejectionsPerSecond(String service, long nowMillis) {
        Announcement answer = mByAnswers.get(service);
        if (answer != null && answer.current(nowMillis)) {
            return Optional.of(answer.rejectionsPerSecond);
        }
        return Optional.ofNullable(mByPeers.get(service))
                .filter(report -> report.current(nowMillis))
                .map(Announcement::rejectionsPerSecond);
    }

    /**
     * Returns the services with an announcement in a recent answer to this instance, and how many
     * rejections their endpoints tolerate.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public Map<String, Integer> recentlyAnnounced(long nowMillis) {
        mByAnswers.values().removeIf(answer -> !answer.current(nowMillis));
        mByPeers.values().removeIf(report -> !report.current(nowMillis));
        Map<String, Integer> limits = new TreeMap<>();
        long reportedFrom = nowMillis + ANSWER_VALID_MILLIS - REPORTED_MILLIS;
        mByAnswers.forEach(
                (service, last) -> {
                    if (last.untilMillis >= reportedFrom) {
                        limits.put(service, last.rejectionsPerSecond);
                    }
                });
        return limits;
    }
}
