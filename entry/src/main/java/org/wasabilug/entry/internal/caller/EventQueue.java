package org.wasabilug.entry.internal.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Events that wait for a caller to read them. Safe for one writer and one reader thread. */
final class EventQueue {
    private final int mHoldCharacters;
    private final int mMaximumCharacters;
    private final Runnable mCaughtUp;
    private List<AnswerEvent> mWaiting = new ArrayList<>();
    private int mWaitingCharacters;
    private boolean mHeld;
    private boolean mClosed;
    private Optional<CompletableFuture<Optional<List<AnswerEvent>>>> mReader = Optional.empty();

    EventQueue(int holdCharacters, int maximumCharacters, Runnable caughtUp) {
        mHoldCharacters = holdCharacters;
        mMaximumCharacters = maximumCharacters;
        mCaughtUp = caughtUp;
    }

    /**
     * Adds an event.
     *
     * @return false where it did not fit
     */
    boolean add(AnswerEvent event) {
        synchronized (this) {
            if (mWaitingCharacters + event.characters() > mMaximumCharacters) {
                return false;
            }
            mWaiting.add(event);
            mWaitingCharacters += event.characters();
        }
        handOver();
        return true;
    }

    /**
     * Tells whether so much waits that no more should come; {@code caughtUp} runs when this is
     * over.
     */
    synchronized boolean holds() {
        if (mWaitingCharacters > mHoldCharacters) {
            mHeld = true;
        }
        return mHeld;
    }

    /** Ends the events; those that wait are still read. */
    void close() {
        synchronized (this) {
            mClosed = true;
        }
        handOver();
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
        handOver();
        return reader;
    }

    private void handOver() {
        CompletableFuture<Optional<List<AnswerEvent>>> reader;
        Optional<List<AnswerEvent>> batch;
        boolean caughtUp;
        synchronized (this) {
            if (mReader.isEmpty() || mWaiting.isEmpty() && !mClosed) {
                return;
            }
            reader = mReader.get();
            mReader = Optional.empty();
            batch = Optional.of(mWaiting).filter(waiting -> !waiting.isEmpty());
            mWaiting = new ArrayList<>();
            mWaitingCharacters = 0;
            caughtUp = mHeld;
            mHeld = false;
        }
        reader.complete(batch);
        if (caughtUp) {
            mCaughtUp.run();
        }
    }
}
