package org.wasabilug.gateway.internal.store;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.protocol.StoreProtocol;

/** Writes single rows, one at a time, retrying until the store confirms them. */
public final class RowWriter {
    private static final long WRITE_TIMEOUT_MILLIS = 2_500;
    private static final long MIN_RETRY_MILLIS = 300;
    private static final long MAX_RETRY_MILLIS = 5_000;

    private final EventLoopGroup mLoops;
    private final StoreConnection mConnection;
    private final StoreProtocol mProtocol;

    /**
     * Creates a writer.
     *
     * @param store how the store is reached
     */
    public RowWriter(StoreAccess store) {
        mLoops = store.loops();
        mConnection = new StoreConnection(store);
        mProtocol = store.protocol();
    }

    /**
     * Writes a row. If the response is lost, the same content is written again, which is harmless.
     *
     * @param table name of the table
     * @param key key of the row
     * @param value content of the row
     * @param written called once the store has confirmed the write
     */
    public void write(String table, String key, byte[] value, Runnable written) {
        byte[] body = mProtocol.writeBody(table, key, value);
        attempt(body, new RetryBackoff(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS), written);
    }

    private void attempt(byte[] body, RetryBackoff backoff, Runnable written) {
        mConnection.call(
                HttpMethod.POST,
                mProtocol.writeTarget(),
                body,
                WRITE_TIMEOUT_MILLIS,
                response -> {
                    if (response.successful()) {
                        mConnection.close();
                        written.run();
                        return;
                    }
                    mLoops.next()
                            .schedule(
                                    () -> attempt(body, backoff, written),
                                    backoff.next(),
                                    TimeUnit.MILLISECONDS);
                });
    }
}
