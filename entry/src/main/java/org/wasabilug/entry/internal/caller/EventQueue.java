package org.wasabilug.entry.internal.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Events of one answer that its caller has not read yet. Safe for one writer and one reader thread.
 */
final class EventQueue {
    private final int mSaturationCharacters;
    private final int mMaximumCharacters;
    private final Runnable mOnCaughtUp;
    private List<AnswerEvent> mQueued = new ArrayList<>();
    private int mQueuedCharacters;
    private boolean mSaturated;
    private boolean mClosed;
    private Optional<CompletableFuture<Optional<List<AnswerEvent>>>> mReader = Optional.empty();

    EventQueue(int saturationCharacters, int maximumCharacters, Runnable onCaughtUp) {
        mSaturationCharacters = saturationCharacters;
        mMaximumCharacters = maximumCharacters;
        mOnCaughtUp = onCaughtUp;
    }

    /**
     * Adds an event.
     *
     * @return false if the queue would exceed its maximum of characters; the event is then
     *     discarded
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
     * Returns whether the writer should pause. If so, {@code onCaughtUp} runs once the queued
     * events have been read.
     */
    synchronized boolean isSaturated() {
        if (mQueuedCharacters > mSaturationCharacters) {
            mSaturated = true;
        }
        return mSaturated;
    }

    /** Marks the end of the events. Queued events can still be read. */
    void close() {
        synchronized (this) {
            mClosed = true;
        }
        deliver();
    }

    /**
     * Returns all queued events as soon as there are any. One call at a time.
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
        boolean wasSaturated;
        synchronized (this) {
            if (mReader.isEmpty() || mQueued.isEmpty() && !mClosed) {
                return;
            }
            reader = mReader.get();
            mReader = Optional.empty();
            batch = Optional.of(mQueued).filter(queued -> !queued.isEmpty());
            mQueued = new ArrayList<>();
            mQueuedCharacters = 0;
            wasSaturated = mSaturated;
            mSaturated = false;
        }
        reader.complete(batch);
        if (wasSaturated) {
            mOnCaughtUp.run();
        }
    }
}
