package org.wasabilug.gateway.internal.fleet;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.peer.PeerNetwork;
import org.wasabilug.gateway.internal.store.RowWriter;
import org.wasabilug.gateway.internal.store.TableEvents;
import org.wasabilug.gateway.protocol.StoredRow;

/** Lets the instances of a fleet find each other: each writes its host to a table of the store. */
public final class InstanceRegistry implements TableEvents {
    /** Name of the table; the key is the instance's name, the value its host. */
    public static final String TABLE = "instances";

    private final GatewayState mState;
    private final PeerNetwork mNetwork;
    private final RowWriter mWriter;
    private boolean mRegistered;

    /**
     * Makes a registry.
     *
     * @param state what this instance knows
     * @param loops event loop
     * @param network who gets the instances
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
        if (!row.removed()) {
            mNetwork.discovered(row.key(), host(row));
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
    public void availabilityChanged(boolean answering, String reason) {
        // The followers of the other tables tell of the same store.
    }
}
