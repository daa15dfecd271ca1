package org.wasabilug.gateway.internal.fleet;

import io.netty.channel.EventLoopGroup;
import io.netty.util.NetUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.peer.PeerNetwork;
import org.wasabilug.gateway.internal.store.RowWriter;
import org.wasabilug.gateway.internal.store.StoreAccess;
import org.wasabilug.gateway.internal.store.StoreEra;
import org.wasabilug.gateway.internal.store.TableEvents;
import org.wasabilug.gateway.protocol.StoredRow;

/**
 * Discovery of the instances of a fleet: each writes its host to a table of the store, and again if
 * the store has lost it.
 */
public final class InstanceRegistry implements TableEvents {
    /** Name of the table; the key is the name of the instance, the value its host. */
    public static final String TABLE = "instances";

    /** Share of an instance in the time over which all write their rows at once. */
    private static final long WRITE_INTERVAL_MILLIS = 5;

    private final GatewayState mState;
    private final PeerNetwork mNetwork;
    private final EventLoopGroup mLoops;
    private final RowWriter mWriter;
    private final StoreEra mEra;
    private Registration mRegistration = Registration.NONE;

    private enum Registration {
        NONE,
        IN_PROGRESS,
        DONE
    }

    /**
     * Creates a registry.
     *
     * @param state state of this process
     * @param store how the store is reached
     * @param network receives the discovered instances
     */
    public InstanceRegistry(GatewayState state, StoreAccess store, PeerNetwork network) {
        mState = state;
        mNetwork = network;
        mLoops = store.loops();
        mWriter = new RowWriter(store);
        mEra = store.era();
        mEra.addListener((before, era) -> storeCameBackOlder());
    }

    private void storeCameBackOlder() {
        if (mRegistration == Registration.DONE) {
            mRegistration = Registration.NONE;
        }
    }

    @Override
    public void replaced(List<StoredRow> rows) {
        rows.forEach(this::apply);
        if (rows.stream().anyMatch(row -> row.key().equals(ownName()))) {
            mState.registered(true);
        }
        boolean present = rows.stream().anyMatch(this::isThisInstance);
        if (!present && mRegistration == Registration.NONE) {
            mRegistration = Registration.IN_PROGRESS;
            long spreadMillis = mNetwork.instances() * WRITE_INTERVAL_MILLIS;
            mLoops.next()
                    .schedule(
                            this::register,
                            ThreadLocalRandom.current().nextLong(spreadMillis),
                            TimeUnit.MILLISECONDS);
        }
    }

    private void register() {
        long era = mEra.newest();
        mWriter.write(
                TABLE,
                ownName(),
                mState.settings().peers().getHostString().getBytes(StandardCharsets.UTF_8),
                () -> registered(era));
    }

    /** A write that was begun in an earlier era may be lost, so it is repeated. */
    private void registered(long era) {
        if (era != mEra.newest()) {
            register();
            return;
        }
        mRegistration = Registration.DONE;
        mState.registered(!mState.settings().firstStart());
        mState.log().process(LogLine.of("instance-registered").with("era", era));
    }

    @Override
    public void changed(List<StoredRow> rows) {
        rows.forEach(this::apply);
    }

    private void apply(StoredRow row) {
        if (row.removed()) {
            return;
        }
        String host = host(row);
        if (NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host)) {
            mNetwork.discovered(row.key(), host);
        } else {
            mState.log().process(LogLine.of("instance-unreadable").with("name", row.key()));
        }
    }

    private String ownName() {
        return mState.settings().name();
    }

    private boolean isThisInstance(StoredRow row) {
        return row.key().equals(ownName())
                && host(row).equals(mState.settings().peers().getHostString());
    }

    private static String host(StoredRow row) {
        return new String(row.value(), StandardCharsets.UTF_8);
    }

    @Override
    public void availabilityChanged(boolean available, String reason) {
        // The followers of the other tables already report the state of the store.
    }

    @Override
    public void rowsNotApplied(Throwable cause) {
        mState.log().fault(LogLine.of("rows-not-applied").with("table", TABLE), cause);
    }
}
