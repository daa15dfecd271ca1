package org.wasabilug.gateway.internal.store;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.protocol.StorePage;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.gateway.protocol.UnreadableException;

/**
 * Follows one table of the store: reads the whole table, then polls for changes.
 *
 * <p>The follower pauses after each response, so that one call returns many small changes. When the
 * store comes back from an older copy, the whole table is read anew.
 */
public final class TableFollower {
    private static final byte[] NO_BODY = {};
    private static final long READ_TIMEOUT_MILLIS = 2_500;
    private static final long MAX_PATIENCE_MILLIS = 2_000;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 800;

    private final StoreAccess mStore;
    private final StoreConnection mConnection;
    private final FollowedTable mTable;
    private final TableEvents mEvents;
    private final RetryBackoff mRetryBackoff = new RetryBackoff(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS);
    private final List<StoredRow> mPages = new ArrayList<>();
    private final PollPatience mPatience = new PollPatience(MAX_PATIENCE_MILLIS);

    /** Version up to which the table is known, and the era in which that version was given out. */
    private long mVersion = -1;

    private long mEra;
    private boolean mPolling;
    private long mPolledMillis;
    private boolean mAvailable;
    private boolean mEverReported;

    /**
     * Creates a follower that is not running yet.
     *
     * @param store how the store is reached
     * @param table table to follow, with the timing of its polls
     * @param events receives the rows
     */
    public TableFollower(StoreAccess store, FollowedTable table, TableEvents events) {
        mStore = store;
        mConnection = new StoreConnection(store);
        mTable = table;
        mEvents = events;
    }

    /** Starts to follow the table. */
    public void start() {
        readTable("");
    }

    private void readTable(String fromKey) {
        if (fromKey.isEmpty()) {
            mPages.clear();
        }
        mConnection.call(
                HttpMethod.GET,
                mStore.protocol().readTarget(mTable.name(), fromKey),
                NO_BODY,
                READ_TIMEOUT_MILLIS,
                this::tableRead);
    }

    private void tableRead(StoreResponse response) {
        StorePage page = pageOf(response);
        if (page == null) {
            retry(() -> readTable(""));
            return;
        }
        if (!mPages.isEmpty() && mEra != mStore.era().newest()) {
            readTable("");
            return;
        }
        mEra = mStore.era().newest();
        // Later pages may be newer than the first; the changes since the first are read again.
        mVersion = mPages.isEmpty() ? page.version() : Math.min(mVersion, page.version());
        mPages.addAll(page.rows());
        if (page.more() && !page.rows().isEmpty()) {
            readTable(page.rows().getLast().key() + "\0");
            return;
        }
        List<StoredRow> rows = List.copyOf(mPages);
        mPages.clear();
        responded();
        apply(() -> mEvents.replaced(rows), this::readChanges);
    }

    /** Reads the whole table now on a new connection, as the answer to a poll seems to be lost. */
    public void readAnew() {
        if (mPolling) {
            mPolling = false;
            mConnection.abandon();
            readTable("");
        }
    }

    private void readChanges() {
        long holdMillis = mPatience.holdMillis(mTable.waitMillis().getAsLong());
        mPolling = true;
        mPolledMillis = GatewayState.clockMillis();
        mConnection.call(
                HttpMethod.GET,
                mStore.protocol().changesTarget(mTable.name(), mVersion, holdMillis),
                NO_BODY,
                holdMillis + mPatience.millis(),
                response -> changesRead(response, holdMillis));
    }

    private void changesRead(StoreResponse response, long holdMillis) {
        mPolling = false;
        if (response.answered()) {
            mPatience.answered(GatewayState.clockMillis() - mPolledMillis - holdMillis);
        } else {
            mPatience.unanswered();
        }
        if (response.historyExpired()) {
            mStore.era().observe(response.era());
            readTable("");
            return;
        }
        StorePage page = pageOf(response);
        if (page == null) {
            // Rows that expired meanwhile are missing only in a read of the whole table.
            retry(() -> readTable(""));
            return;
        }
        if (mEra != mStore.era().newest()) {
            // The store's versions began anew, so this page may lack changes.
            readTable("");
            return;
        }
        mVersion = Math.max(mVersion, page.version());
        responded();
        if (page.rows().isEmpty()) {
            pause();
        } else {
            apply(() -> mEvents.changed(page.rows()), this::pause);
        }
    }

    private void pause() {
        mStore.loops()
                .next()
                .schedule(
                        this::readChanges, mTable.pauseMillis().getAsLong(), TimeUnit.MILLISECONDS);
    }

    /** Passes rows on as a task of its own, as a fault of their receiver must not end this. */
    private void apply(Runnable rows, Runnable then) {
        mStore.loops()
                .next()
                .submit(rows)
                .addListener(
                        applied -> {
                            if (!applied.isSuccess()) {
                                mEvents.rowsNotApplied(applied.cause());
                            }
                            then.run();
                        });
    }

    private StorePage pageOf(StoreResponse response) {
        try {
            return mStore.page(response);
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

    private void report(boolean available, String reason) {
        if (mAvailable != available || !mEverReported) {
            mAvailable = available;
            mEverReported = true;
            mEvents.availabilityChanged(available, reason);
        }
    }

    private void retry(Runnable step) {
        mStore.loops().next().schedule(step, mRetryBackoff.next(), TimeUnit.MILLISECONDS);
    }
}
