package org.wasabilug.gateway.internal.store;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.protocol.StoreProtocol;

/** Writes single rows, again and again until the store has taken them. */
public final class RowWriter {
    private static final long WRITE_TIMEOUT_MILLIS = 2_500;
    private static final long MIN_RETRY_MILLIS = 300;
    private static final long MAX_RETRY_MILLIS = 5_000;

    private final EventLoopGroup mLoops;
    private final StoreConnection mConnection;
    private final StoreProtocol mProtocol;

    /**
     * Makes a writer.
     *
     * @param loops event loop
     * @param store address of the store
     * @param protocol formats of the store
     */
    public RowWriter(EventLoopGroup loops, InetSocketAddress store, StoreProtocol protocol) {
        mLoops = loops;
        mConnection = new StoreConnection(loops, store);
        mProtocol = protocol;
    }

    /**
     * Writes a row. A lost answer leads to a second write of the same content, which does no harm.
     *
     * @param table its table
     * @param key its key
     * @param value its content
     * @param written called once the store has it
     */
    public void write(String table, String key, byte[] value, Runnable written) {
        byte[] body = mProtocol.writeBody(table, key, value);
        attempt(body, new RetryBackoff(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS), written);
    }

    private void attempt(byte[] body, RetryBackoff pause, Runnable written) {
        mConnection.call(
                HttpMethod.POST,
                mProtocol.writeTarget(),
                body,
                WRITE_TIMEOUT_MILLIS,
                answer -> {
                    if (answer.successful()) {
                        mConnection.close();
                        written.run();
                        return;
                    }
                    mLoops.next()
                            .schedule(
                                    () -> attempt(body, pause, written),
                                    pause.next(),
                                    TimeUnit.MILLISECONDS);
                });
    }
}
