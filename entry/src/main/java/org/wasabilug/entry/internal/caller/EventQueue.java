package org.wasabilug.entry.internal.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Events that wait for a caller to read them. Safe for one writer and one reader thread. */
final class EventQueue {
    private final int mSaturationCharacters;
    private final int mMaximumCharacters;
    private final Runnable mOnCaughtUp;
    private List<AnswerEvent> mQueued = new ArrayList<>();
    private int mQueuedCharacters;
    private boolean mSaturated;
    private boolean mClosed;
    private Optional<CompletableFuture<Optional<List<AnswerEvent>>>> mReader = Optional.empty();

    EventQueue(int holdCharacters, int maximumCharacters, Runnable caughtUp) {
        mSaturationCharacters = holdCharacters;
        mMaximumCharacters = maximumCharacters;
        mOnCaughtUp = caughtUp;
    }

    /**
     * Adds an event.
     *
     * @return false where it did not fit
     */
    boolean add(AnswerEvent event) {
        synchronized (this) {
            if (mQueuedCharacters + event.characters() > mMaximumCharacters) {
                return false;
            }
            mQueued.add(event);
            mQueuedCharacters += event.characters();
        }
        deliver();
        return true;
    }

    /**
     * Tells whether so much waits that no more should come; {@code caughtUp} runs when this is
     * over.
     */
    synchronized boolean isSaturated() {
        if (mQueuedCharacters > mSaturationCharacters) {
            mSaturated = true;
        }
        return mSaturated;
    }

    /** Ends the events; those that wait are still read. */
    void close() {
        synchronized (this) {
            mClosed = true;
        }
        deliver();
    }

    /**
     * Everything that waits, as soon as there is something.
     *
     * @return the events; empty after the last one
     */
    CompletionStage<Optional<List<AnswerEvent>>> next() {
        CompletableFuture<Optional<List<AnswerEvent>>> reader = new CompletableFuture<>();
        synchronized (this) {
            mReader = Optional.of(reader);
        }
        deliver();
        return reader;
    }

    private void deliver() {
        CompletableFuture<Optional<List<AnswerEvent>>> reader;
        Optional<List<AnswerEvent>> batch;
        boolean caughtUp;
        synchronized (this) {
            if (mReader.isEmpty() || mQueued.isEmpty() && !mClosed) {
                return;
            }
            reader = mReader.get();
            mReader = Optional.empty();
            batch = Optional.of(mQueued).filter(waiting -> !waiting.isEmpty());
            mQueued = new ArrayList<>();
            mQueuedCharacters = 0;
            caughtUp = mSaturated;
            mSaturated = false;
        }
        reader.complete(batch);
        if (caughtUp) {
            mOnCaughtUp.run();
        }
    }
}
