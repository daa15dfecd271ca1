package org.wasabilug.gateway.internal.store;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.protocol.StorePage;
import org.wasabilug.gateway.protocol.StoreProtocol;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.gateway.protocol.UnreadableException;

/**
 * Follows one table of the store: reads it whole, then its changes.
 *
 * <p>After an answer the follower pauses, so that many small changes come with one call.
 */
public final class TableFollower {
    private static final byte[] NO_BODY = {};
    private static final long READ_TIMEOUT_MILLIS = 2_500;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 800;

    private final EventLoopGroup mLoops;
    private final StoreConnection mConnection;
    private final StoreProtocol mProtocol;
    private final FollowedTable mTable;
    private final TableEvents mEvents;
    private final RetryBackoff mRetryBackoff = new RetryBackoff(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS);
    private final List<StoredRow> mPages = new ArrayList<>();
    private long mVersion = -1;
    private boolean mAvailable;
    private boolean mEverReported;

    /**
     * Makes a follower that does not run yet.
     *
     * @param loops event loop
     * @param store address of the store
     * @param protocol formats of the store
     * @param table what to follow, and how
     * @param events who gets the rows
     */
    public TableFollower(
            EventLoopGroup loops,
            InetSocketAddress store,
            StoreProtocol protocol,
            FollowedTable table,
            TableEvents events) {
        mLoops = loops;
        mConnection = new StoreConnection(loops, store);
        mProtocol = protocol;
        mTable = table;
        mEvents = events;
    }

    /** Starts to follow. */
    public void start() {
        readTable("");
    }

    private void readTable(String fromKey) {
        if (fromKey.isEmpty()) {
            mPages.clear();
        }
        mConnection.call(
                HttpMethod.GET,
                mProtocol.readTarget(mTable.name(), fromKey),
                NO_BODY,
                READ_TIMEOUT_MILLIS,
                this::tableRead);
    }

    private void tableRead(StoreResponse answer) {
        StorePage page = pageOf(answer);
        if (page == null) {
            retry(() -> readTable(""));
            return;
        }
        // A page may be newer than the one before; changes since the first are read again.
        mVersion = mPages.isEmpty() ? page.version() : Math.min(mVersion, page.version());
        mPages.addAll(page.rows());
        if (page.more() && !page.rows().isEmpty()) {
            readTable(page.rows().getLast().key() + "\0");
            return;
        }
        List<StoredRow> rows = List.copyOf(mPages);
        mPages.clear();
        responded();
        mEvents.replaced(rows);
        readChanges();
    }

    private void readChanges() {
        mConnection.call(
                HttpMethod.GET,
                mProtocol.changesTarget(mTable.name(), mVersion, mTable.waitMillis()),
                NO_BODY,
                mTable.waitMillis() + READ_TIMEOUT_MILLIS,
                this::changesRead);
    }

    private void changesRead(StoreResponse answer) {
        if (answer.historyExpired()) {
            readTable("");
            return;
        }
        StorePage page = pageOf(answer);
        if (page == null) {
            // What lapsed meanwhile shows only in a whole read.
            retry(() -> readTable(""));
            return;
        }
        mVersion = Math.max(mVersion, page.version());
        responded();
        if (!page.rows().isEmpty()) {
            mEvents.changed(page.rows());
        }
        mLoops.next().schedule(this::readChanges, mTable.pauseMillis(), TimeUnit.MILLISECONDS);
    }

    private StorePage pageOf(StoreResponse answer) {
        if (!answer.successful()) {
            unavailable(answer.reason().isEmpty() ? "status " + answer.status() : answer.reason());
            return null;
        }
        try {
            return mProtocol.readPage(answer.body());
        } catch (UnreadableException unreadable) {
            unavailable(unreadable.getMessage());
            return null;
        }
    }

    private void responded() {
        mRetryBackoff.reset();
        report(true, "answered");
    }

    private void unavailable(String reason) {
        report(false, reason);
    }

    private void report(boolean answering, String reason) {
        if (mAvailable != answering || !mEverReported) {
            mAvailable = answering;
            mEverReported = true;
            mEvents.availabilityChanged(answering, reason);
        }
    }

    private void retry(Runnable step) {
        mLoops.next().schedule(step, mRetryBackoff.next(), TimeUnit.MILLISECONDS);
    }
}
