package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.Map;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.StoreRevision;

/**
 * Endpoints that have left, so that an older copy of the store does not bring them back.
 *
 * <p>The first row of a later era that would do so may be one of the copy. A later row of that era
 * was written after the store came back, and is believed.
 */
final class DepartedEndpoints {
    /** Longer than an operator takes to write again what the store has lost. */
    private static final long RETENTION_MILLIS = 60_000;

    private final Map<String, Departure> mDepartures = new HashMap<>();

    private static final class Departure {
        private final EndpointRegistration mLast;
        private final long mDepartedMillis;
        private final boolean mAnnounced;
        private StoreRevision mDoubted = StoreRevision.NONE;

        private Departure(EndpointRegistration last, long departedMillis, boolean announced) {
            mLast = last;
            mDepartedMillis = departedMillis;
            mAnnounced = announced;
        }
    }

    /** Records that an endpoint accepts no further requests, or is gone. */
    void departed(EndpointRegistration last, long nowMillis) {
        boolean announced = hasAnnounced(last);
        mDepartures.put(last.name(), new Departure(last, nowMillis, announced));
    }

    /** Records that an endpoint said itself that it leaves, which no row takes back. */
    void announced(EndpointRegistration last, long nowMillis) {
        mDepartures.put(last.name(), new Departure(last, nowMillis, true));
    }

    /** Returns whether this incarnation of an endpoint said itself that it leaves. */
    boolean hasAnnounced(EndpointRegistration registration) {
        Departure departure = mDepartures.get(registration.name());
        return departure != null
                && departure.mAnnounced
                && !registration.isOtherIncarnationThan(departure.mLast);
    }

    /** Records that an endpoint is in use. */
    void returned(String name) {
        mDepartures.remove(name);
    }

    /** Returns whether a registration would bring an endpoint back that may have left for good. */
    boolean doubts(EndpointRegistration registration) {
        Departure departure = mDepartures.get(registration.name());
        if (departure == null
                || registration.leaving()
                || registration.isOtherIncarnationThan(departure.mLast)
                || registration.revision().era() <= departure.mLast.revision().era()) {
            return false;
        }
        if (departure.mDoubted.era() != registration.revision().era()) {
            departure.mDoubted = registration.revision();
        }
        return !registration.revision().isAfter(departure.mDoubted);
    }

    /** Forgets endpoints that left long ago. */
    void removeExpired(long nowMillis) {
        mDepartures.values().removeIf(each -> nowMillis - each.mDepartedMillis > RETENTION_MILLIS);
    }
}
