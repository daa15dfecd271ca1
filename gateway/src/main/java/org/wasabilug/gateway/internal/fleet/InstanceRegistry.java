package org.wasabilug.gateway.internal.fleet;

import io.netty.channel.EventLoopGroup;
import io.netty.util.NetUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.peer.PeerNetwork;
import org.wasabilug.gateway.internal.store.RowWriter;
import org.wasabilug.gateway.internal.store.TableEvents;
import org.wasabilug.gateway.protocol.StoredRow;

/** Discovery of the instances of a fleet: each writes its host to a table of the store. */
public final class InstanceRegistry implements TableEvents {
    /** Name of the table; the key is the name of the instance, the value its host. */
    public static final String TABLE = "instances";

    private final GatewayState mState;
    private final PeerNetwork mNetwork;
    private final RowWriter mWriter;
    private boolean mRegistered;

    /**
     * Creates a registry.
     *
     * @param state state of this process
     * @param loops event loop
     * @param network receives the discovered instances
     */
    public InstanceRegistry(GatewayState state, EventLoopGroup loops, PeerNetwork network) {
        mState = state;
        mNetwork = network;
        mWriter = new RowWriter(loops, state.settings().store(), state.protocol().store());
    }

    @Override
    public void replaced(List<StoredRow> rows) {
        rows.forEach(this::apply);
        boolean present = rows.stream().anyMatch(this::isThisInstance);
        if (!present && !mRegistered) {
            mRegistered = true;
            String host = mState.settings().peers().getHostString();
            mWriter.write(
                    TABLE,
                    mState.settings().name(),
                    host.getBytes(StandardCharsets.UTF_8),
                    () -> mState.log().process(LogLine.of("instance-registered")));
        }
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

    private boolean isThisInstance(StoredRow row) {
        return row.key().equals(mState.settings().name())
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
