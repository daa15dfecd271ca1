package org.wasabilug.entry.fake;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.ObjectOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;
import org.wasabilug.tableservice.PlatformClient;

/** An unreachable platform. */
public final class FakePlatform implements PlatformClient {
    @Override
    public CompletionStage<CommitOutcome> commit(TableTransaction transaction) {
        return CompletableFuture.completedFuture(new CommitOutcome.NotSent());
    }

    @Override
    public CompletionStage<ReadOutcome> read(TableRead read) {
        return CompletableFuture.completedFuture(new ReadOutcome.Unavailable());
    }

    @Override
    public CompletionStage<ObjectOutcome> readObject(String name) {
        return CompletableFuture.completedFuture(new ObjectOutcome.Unavailable());
    }

    @Override
    public CompletionStage<ObjectOutcome> writeObject(String name, String text) {
        return CompletableFuture.completedFuture(new ObjectOutcome.Unavailable());
    }

    @Override
    public CompletionStage<ListOutcome> listInstances() {
        return CompletableFuture.completedFuture(new ListOutcome.Unavailable());
    }

    @Override
    public void close() {
        // The fake holds no resources.
    }
}
