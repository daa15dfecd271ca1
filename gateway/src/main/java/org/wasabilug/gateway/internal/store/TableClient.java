package org.wasabilug.gateway.internal.store;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import org.wasabilug.gateway.protocol.StorePage;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.gateway.protocol.UnreadableException;

/** Reads a small table as a whole, and writes its rows under a condition; nothing is retried. */
public final class TableClient {
    private static final byte[] NO_BODY = {};

    private final StoreConnection mConnection;
    private final StoreAccess mStore;
    private final String mTable;
    private final long mTimeoutMillis;
    private final Queue<Call> mWaiting = new ArrayDeque<>();
    private boolean mCalling;

    private record Call(
            HttpMethod method, String target, byte[] body, Consumer<StoreResponse> receiver) {}

    /**
     * Creates a client without a connection.
     *
     * @param store how the store is reached
     * @param table name of the table
     * @param timeoutMillis time after which a call counts as failed, in milliseconds
     */
    public TableClient(StoreAccess store, String table, long timeoutMillis) {
        mConnection = new StoreConnection(store);
        mStore = store;
        mTable = table;
        mTimeoutMillis = timeoutMillis;
    }

    /**
     * Reads the table.
     *
     * @param receiver receives its rows, or empty if they could not be read or need several pages
     */
    public void read(Consumer<Optional<StorePage>> receiver) {
        submit(
                new Call(
                        HttpMethod.GET,
                        mStore.protocol().readTarget(mTable, ""),
                        NO_BODY,
                        response -> receiver.accept(pageOf(response))));
    }

    /**
     * Reads rows of the table up to the size of a page.
     *
     * @param fromKey first key
     * @param receiver receives the rows, or empty if they could not be read
     */
    public void readFrom(String fromKey, Consumer<Optional<StorePage>> receiver) {
        submit(
                new Call(
                        HttpMethod.GET,
                        mStore.protocol().readTarget(mTable, fromKey),
                        NO_BODY,
                        response -> receiver.accept(anyPageOf(response))));
    }

    private Optional<StorePage> pageOf(StoreResponse response) {
        return anyPageOf(response).filter(page -> !page.more());
    }

    private Optional<StorePage> anyPageOf(StoreResponse response) {
        try {
            return Optional.of(mStore.page(response));
        } catch (UnreadableException unreadable) {
            return Optional.empty();
        }
    }

    /**
     * Writes a row unless it has changed.
     *
     * @param row key and content of the row, and the version that is to be replaced; 0 if the row
     *     must not exist
     * @param receiver receives true once the store has confirmed the write, or false if the row has
     *     changed or it is not known whether it was written
     */
    public void write(StoredRow row, Consumer<Boolean> receiver) {
        write(mStore.protocol().conditionalWriteBody(mTable, row), receiver);
    }

    /**
     * Writes under a condition.
     *
     * @param body encoded write
     * @param receiver receives true once the store has confirmed the write, or false if the
     *     condition does not hold or it is not known whether it was written
     */
    public void write(byte[] body, Consumer<Boolean> receiver) {
        submit(
                new Call(
                        HttpMethod.POST,
                        mStore.protocol().writeTarget(),
                        body,
                        response -> receiver.accept(response.successful())));
    }

    private void submit(Call call) {
        mWaiting.add(call);
        callNext();
    }

    private void callNext() {
        if (mCalling || mWaiting.isEmpty()) {
            return;
        }
        Call call = mWaiting.remove();
        mCalling = true;
        mConnection.call(
                call.method(),
                call.target(),
                call.body(),
                mTimeoutMillis,
                response -> {
                    mCalling = false;
                    call.receiver().accept(response);
                    callNext();
                });
    }

    /** Closes the connection unless a call is in progress. The next call opens another one. */
    public void closeIdle() {
        if (!mCalling) {
            mConnection.close();
        }
    }
}
