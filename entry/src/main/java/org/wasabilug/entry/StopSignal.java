package org.wasabilug.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

/**
 * Turns SIGTERM into a planned stop. The shutdown hook triggers the stop and then blocks, which
 * keeps the JVM running until the main thread has closed everything and halts it.
 */
final class StopSignal {
    private final EntryDaemon mDaemon;
    private final CompletableFuture<Void> mSignalled = new CompletableFuture<>();

    StopSignal(EntryDaemon daemon) {
        mDaemon = daemon;
    }

    int serveUntilStopped() {
        Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().unstarted(this::awaitProcessEnd));
        mSignalled.join();
        mDaemon.stop().toCompletableFuture().join();
        return EntryProgram.EXIT_STOPPED;
    }

    private void awaitProcessEnd() {
        mSignalled.complete(null);
        CountDownLatch processEnd = new CountDownLatch(1);
        try {
            processEnd.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
