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
    private static final long SHORTEST_RETRY_MILLIS = 100;
    private static final long LONGEST_RETRY_MILLIS = 800;

    private final EventLoopGroup mLoops;
    private final StoreConnection mConnection;
    private final StoreProtocol mProtocol;
    private final FollowedTable mTable;
    private final TableEvents mEvents;
    private final RetryPause mRetryPause =
            new RetryPause(SHORTEST_RETRY_MILLIS, LONGEST_RETRY_MILLIS);
    private final List<StoredRow> mPages = new ArrayList<>();
    private long mVersion = -1;
    private boolean mAnswering;
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
        readWhole("");
    }

    private void readWhole(String fromKey) {
        if (fromKey.isEmpty()) {
            mPages.clear();
        }
        mConnection.call(
                HttpMethod.GET,
                mProtocol.readTarget(mTable.name(), fromKey),
                NO_BODY,
                READ_TIMEOUT_MILLIS,
                this::wholeRead);
    }

    private void wholeRead(StoreAnswer answer) {
        StorePage page = pageOf(answer);
        if (page == null) {
            retry(() -> readWhole(""));
            return;
        }
        // A page may be newer than the one before; changes since the first are read again.
        mVersion = mPages.isEmpty() ? page.version() : Math.min(mVersion, page.version());
        mPages.addAll(page.rows());
        if (page.more() && !page.rows().isEmpty()) {
            readWhole(page.rows().getLast().key() + "\0");
            return;
        }
        List<StoredRow> rows = List.copyOf(mPages);
        mPages.clear();
        answering();
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

    private void changesRead(StoreAnswer answer) {
        if (answer.historyGone()) {
            readWhole("");
            return;
        }
        StorePage page = pageOf(answer);
        if (page == null) {
            // What lapsed meanwhile shows only in a whole read.
            retry(() -> readWhole(""));
            return;
        }
        mVersion = Math.max(mVersion, page.version());
        answering();
        if (!page.rows().isEmpty()) {
            mEvents.changed(page.rows());
        }
        mLoops.next().schedule(this::readChanges, mTable.pauseMillis(), TimeUnit.MILLISECONDS);
    }

    private StorePage pageOf(StoreAnswer answer) {
        if (!answer.good()) {
            silent(answer.reason().isEmpty() ? "status " + answer.status() : answer.reason());
            return null;
        }
        try {
            return mProtocol.readPage(answer.body());
        } catch (UnreadableException unreadable) {
            silent(unreadable.getMessage());
            return null;
        }
    }

    private void answering() {
        mRetryPause.reset();
        report(true, "answered");
    }

    private void silent(String reason) {
        report(false, reason);
    }

    private void report(boolean answering, String reason) {
        if (mAnswering != answering || !mEverReported) {
            mAnswering = answering;
            mEverReported = true;
            mEvents.reachable(answering, reason);
        }
    }

    private void retry(Runnable step) {
        mLoops.next().schedule(step, mRetryPause.next(), TimeUnit.MILLISECONDS);
    }
}
