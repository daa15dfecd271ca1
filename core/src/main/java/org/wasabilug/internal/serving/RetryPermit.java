package org.wasabilug.internal.serving;

/**
 * Permission to send one request or piece once more.
 *
 * <p>It counts against the limit of its {@link RetryBudget} from the moment at which it is granted,
 * however long it waits, until a window after it was used; or until it is given back. Whoever holds
 * it ends it in one of the two ways; what follows has no effect.
 */
public final class RetryPermit {
    /** Belongs to no budget: for what isn't a repeat, or was permitted by another instance. */
    public static final RetryPermit NONE = new RetryPermit();

    private final RetryCounts mCounts;
    private boolean mEnded;

    private RetryPermit() {
        mCounts = null;
        mEnded = true;
    }

    RetryPermit(RetryCounts counts) {
        mCounts = counts;
        counts.reserve();
    }

    /**
     * Ends the permit as what it permits is sent now, or may have been sent until now.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void use(long nowMillis) {
        if (end()) {
            mCounts.use(nowMillis);
        }
    }

    /** Ends the permit as what it permits was not sent and will not be. */
    public void giveBack() {
        if (end()) {
            mCounts.giveBack();
        }
    }

    private boolean end() {
        boolean ends = !mEnded;
        mEnded = true;
        return ends;
    }
}
