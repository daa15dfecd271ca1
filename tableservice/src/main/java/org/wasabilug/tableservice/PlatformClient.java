package org.wasabilug.tableservice;

import java.util.concurrent.CompletionStage;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.ObjectOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;

/**
 * Client of the platform's services. Every returned stage completes normally; failures are
 * outcomes.
 */
public interface PlatformClient extends AutoCloseable {
    /**
     * Commits a transaction.
     *
     * @param transaction transaction to commit
     * @return completes with the outcome
     */
    CompletionStage<CommitOutcome> commit(TableTransaction transaction);

    /**
     * Reads rows.
     *
     * @param read rows to read
     * @return completes with the outcome
     */
    CompletionStage<ReadOutcome> read(TableRead read);

    /**
     * Reads an object of the object store.
     *
     * @param name name of the object
     * @return completes with found, missing or unavailable
     */
    CompletionStage<ObjectOutcome> readObject(String name);

    /**
     * Writes an object of the object store.
     *
     * @param name name of the object
     * @param text content of the object
     * @return completes with written or unavailable
     */
    CompletionStage<ObjectOutcome> writeObject(String name, String text);

    /**
     * Reads the list of live and leaving instances.
     *
     * @return completes with the outcome
     */
    CompletionStage<ListOutcome> listInstances();

    @Override
    void close();
}
