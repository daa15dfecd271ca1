package org.wasabilug.serving;

import java.util.Comparator;

/**
 * Moment in the history of the store. Versions are comparable only within one era, as a store that
 * comes back from an older copy gives them out again.
 *
 * @param era number of times that the store came back from an older copy; 0 if it does not say
 * @param version version of the store within the era
 */
public record StoreRevision(long era, long version) implements Comparable<StoreRevision> {
    /** Before all others. */
    public static final StoreRevision NONE = new StoreRevision(Long.MIN_VALUE, 0);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::version);

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    /**
     * Returns whether this revision is later than another one.
     *
     * @param other the other one
     */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    @Override
    public String toString() {
        return era + "/" + version;
    }
}
