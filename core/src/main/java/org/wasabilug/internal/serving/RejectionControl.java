package org.wasabilug.internal.serving;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Limits what this instance sends to one endpoint so that all instances together stay below the
 * rejections that a brittle endpoint tolerates.
 *
 * <p>Each instance always has its share of the endpoint's slots. It may send more while there seems
 * to be room, and a rejection at any instance stops that for a time that grows with each rejection.
 * If the known rejections approach the limit, no instance sends anything.
 */
public final class RejectionControl {
    /** One second plus the largest expected difference in transit time between two requests. */
    private static final long WINDOW_MILLIS = 1_100;

    /** Part of the limit that is used; requests under way may be rejected in addition. */
    private static final double USED_PART_OF_LIMIT = 0.7;

    private static final int MAX_REMEMBERED = 100;
    private static final long MAX_HOLD_MILLIS = 30_000;
    private static final long MIN_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 4_000;
    private static final long BURST_MILLIS = 100;

    /** Time until the peers know of a rejection; they resume one after another at this interval. */
    private static final long REACTION_MILLIS = 20;

    private static final long TURN_MILLIS = 2_000;
    private static final long GROWTH_VALID_MILLIS = 2_000;
    private static final long UNKNOWN = Long.MIN_VALUE / 2;

    private final String mEndpoint;
    private final SlidingWindow mRejections = new SlidingWindow(WINDOW_MILLIS);
    private long mLastRejectionMillis = UNKNOWN;
    private long mLastOwnRejectionMillis = UNKNOWN;
    private long mBackoffMillis;
    private long mExtraFromMillis = UNKNOWN;
    private int mExtraSends = 1;
    private int mWaitingRoom;
    private long mGrownMillis;

    RejectionControl(String endpoint) {
        mEndpoint = endpoint;
    }

    /**
     * Records that the endpoint rejected a request of this instance for want of room.
     *
     * @param limit rejections within a second that the endpoint tolerates
     * @param fleet this instance and its peers
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordRejection(int limit, FleetView fleet, long nowMillis) {
        mLastOwnRejectionMillis = nowMillis;
        recordPeerRejection(limit, fleet, nowMillis);
    }

    /**
     * Records that the endpoint rejected a request of a peer for want of room.
     *
     * @param limit rejections within a second that the endpoint tolerates
     * @param fleet this instance and its peers
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordPeerRejection(int limit, FleetView fleet, long nowMillis) {
        if (mRejections.count(nowMillis) < MAX_REMEMBERED) {
            mRejections.add(nowMillis);
        }
        if (nowMillis - mLastRejectionMillis > BURST_MILLIS) {
            growBackoff(fleet, nowMillis);
            mWaitingRoom /= 2;
        }
        mLastRejectionMillis = nowMillis;
        mExtraSends = 1;
        boolean stopped = mRejections.count(nowMillis) >= stopCount(quota(limit, fleet));
        delayExtraSends(stopped ? nowMillis + WINDOW_MILLIS : nowMillis, fleet, nowMillis);
    }

    /** Delays the sends beyond the share, at each instance for another time. */
    private void delayExtraSends(long fromMillis, FleetView fleet, long nowMillis) {
        mBackoffMillis = Math.max(mBackoffMillis, minimumBackoffMillis(fleet));
        double delay = mBackoffMillis * fraction(fleet.instance(), nowMillis);
        mExtraFromMillis = Math.max(mExtraFromMillis, fromMillis + (long) delay);
    }

    private static long minimumBackoffMillis(FleetView fleet) {
        return Math.max(MIN_BACKOFF_MILLIS, REACTION_MILLIS * fleet.heard());
    }

    private void growBackoff(FleetView fleet, long nowMillis) {
        long minimum = minimumBackoffMillis(fleet);
        long quiet = nowMillis - mExtraFromMillis;
        while (mBackoffMillis > minimum && quiet > mBackoffMillis) {
            quiet -= mBackoffMillis;
            mBackoffMillis /= 2;
        }
        long maximum = Math.max(MAX_BACKOFF_MILLIS, minimum);
        mBackoffMillis = Math.clamp(2 * mBackoffMillis, minimum, maximum);
    }

    /**
     * Records that the endpoint had room for a request of this instance.
     *
     * @param load load of the endpoint right after the request was sent
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordAccepted(Load load, long nowMillis) {
        if (load.all() > load.slots() + mWaitingRoom) {
            mWaitingRoom++;
        }
        if (load.local() >= mExtraSends) {
            mExtraSends = Math.min(mExtraSends + 1, load.local());
            mGrownMillis = nowMillis;
        }
    }

    /**
     * Returns the number of known rejections in the last second.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public int rejectionsInLastSecond(long nowMillis) {
        return mRejections.count(nowMillis);
    }

    /**
     * Returns whether nothing may be sent to the endpoint because of recent rejections.
     *
     * @param limit rejections within a second that the endpoint tolerates
     * @param fleet this instance and its peers
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean isStopped(int limit, FleetView fleet, long nowMillis) {
        double quota = quota(limit, fleet);
        return mRejections.count(nowMillis) >= stopCount(quota)
                || nowMillis < mLastOwnRejectionMillis + holdMillis(quota);
    }

    /**
     * Returns whether this instance may send another request to the endpoint.
     *
     * @param load load of the endpoint
     * @param limit rejections within a second that the endpoint tolerates
     * @param fleet this instance and its peers
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean maySend(Load load, int limit, FleetView fleet, long nowMillis) {
        if (mExtraFromMillis == UNKNOWN) {
            delayExtraSends(nowMillis, fleet, nowMillis);
        }
        if (isStopped(limit, fleet, nowMillis)) {
            return false;
        }
        int share = share(load.slots(), fleet, nowMillis);
        return load.local() < share || mayExceed(share, load, (int) quota(limit, fleet), nowMillis);
    }

    /**
     * Requests at the endpoint, as far as this instance knows.
     *
     * @param local requests of this instance
     * @param all requests of all instances
     * @param slots requests that the endpoint runs concurrently
     */
    public record Load(int local, int all, int slots) {}

    private static double quota(int limit, FleetView fleet) {
        return USED_PART_OF_LIMIT * limit * fleet.heardPart();
    }

    private static int stopCount(double quota) {
        return Math.max(1, (int) quota);
    }

    private static long holdMillis(double quota) {
        return quota <= 0
                ? MAX_HOLD_MILLIS
                : Math.min(MAX_HOLD_MILLIS, (long) (WINDOW_MILLIS / quota));
    }

    /** Allows no more requests to wait at the endpoint than it may reject. */
    private boolean mayExceed(int share, Load load, int quota, long nowMillis) {
        if (nowMillis - mGrownMillis > GROWTH_VALID_MILLIS) {
            mExtraSends = 1;
        }
        return quota >= 1
                && nowMillis >= mExtraFromMillis
                && load.local() < share + mExtraSends
                && load.all() < load.slots() + Math.min(mWaitingRoom + 1, quota);
    }

    /**
     * Returns this instance's share of the slots. The shares of instances that hear each other add
     * up to their part of the slots; a fraction of a slot that remains is given in turns.
     */
    private int share(int slots, FleetView fleet, long nowMillis) {
        double part = slots * fleet.heardPart();
        int whole = (int) part;
        int first = Math.floorMod(mEndpoint.hashCode(), fleet.heard());
        int position = (fleet.rank() + first) % fleet.heard();
        int share = portion(whole, position + 1, fleet) - portion(whole, position, fleet);
        double turn = fraction(fleet.instance(), nowMillis / TURN_MILLIS);
        return turn < (part - whole) / fleet.heard() ? share + 1 : share;
    }

    private static int portion(int slots, int instances, FleetView fleet) {
        return slots * instances / fleet.heard();
    }

    /**
     * Returns a number from 0 to 1 by which an instance prefers some endpoints for a while, so that
     * instances with the same view don't all choose the same endpoint.
     *
     * @param fleet this instance and its peers
     * @param nowMillis current monotonic time, in milliseconds
     */
    double preference(FleetView fleet, long nowMillis) {
        return fraction(fleet.instance(), nowMillis / TURN_MILLIS);
    }

    /** Returns a number from 0 to 1 that differs between instances, endpoints and times. */
    private double fraction(String instance, long number) {
        int hash =
                Hashing.murmur3_32_fixed()
                        .newHasher()
                        .putString(instance, StandardCharsets.UTF_8)
                        .putChar('/')
                        .putString(mEndpoint, StandardCharsets.UTF_8)
                        .putLong(number)
                        .hash()
                        .asInt();
        return (hash & Integer.MAX_VALUE) / (double) Integer.MAX_VALUE;
    }
}
