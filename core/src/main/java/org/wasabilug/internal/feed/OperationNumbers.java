package org.wasabilug.internal.feed;

import org.wasabilug.internal.event.OperationId;
import org.wasabilug.internal.event.Part;

/** Assigns numbers to the operations of the feed. */
final class OperationNumbers {
    private long mLast;

    OperationId next() {
        mLast++;
        return new OperationId(Part.FEED, mLast);
    }
}
