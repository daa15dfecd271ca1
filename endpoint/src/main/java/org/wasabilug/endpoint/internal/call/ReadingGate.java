package org.wasabilug.endpoint.internal.call;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Lets the elements of a stream pass, or delays the next element while closed. */
final class ReadingGate {
    private CompletableFuture<Void> mOpened = CompletableFuture.completedFuture(null);

    synchronized void close() {
        if (mOpened.isDone()) {
            mOpened = new CompletableFuture<>();
        }
    }

    void open() {
        current().complete(null);
    }

    <T> CompletionStage<T> pass(T element) {
        return current().thenApply(nothing -> element);
    }

    private synchronized CompletableFuture<Void> current() {
        return mOpened;
    }
}
