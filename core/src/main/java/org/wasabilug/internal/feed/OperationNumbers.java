package org.wasabilug.internal.feed;

import org.wasabilug.internal.event.Component;
import org.wasabilug.internal.event.OperationId;

/** Assigns numbers to the operations of the feed. */
final class OperationNumbers {
    private long mLast;

    OperationId next() {
        mLast++;
        return new OperationId(Component.FEED, mLast);
    }
}
