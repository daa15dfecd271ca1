package org.wasabilug.gateway.internal.fleet;

import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;

/**
 * Has the configuration read again where peers have a newer one, as the answer that was to bring it
 * may be lost.
 */
public final class MissedConfiguration {
    /** The answer of the store to this instance may be on its way. */
    private static final long GRACE_MILLIS = 300;

    private final GatewayState mState;
    private final Runnable mReadAnew;
    private boolean mChecking;

    /**
     * Creates a check that does nothing before peers tell their versions.
     *
     * @param state state of this process
     * @param readAnew reads the configuration on a new connection
     */
    public MissedConfiguration(GatewayState state, Runnable readAnew) {
        mState = state;
        mReadAnew = readAnew;
    }

    /**
     * Called when a peer tells which configuration is active there.
     *
     * @param peer name of the peer
     * @param version version of the configuration
     */
    public void heard(String peer, long version) {
        if (!mChecking && version > activeVersion()) {
            mChecking = true;
            mState.loop().schedule(() -> check(peer, version), GRACE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check(String peer, long version) {
        mChecking = false;
        long active = activeVersion();
        if (version > active) {
            mState.log()
                    .process(
                            LogLine.of("configuration-missed")
                                    .with("version", version)
                                    .with("active", active)
                                    .with("peer", peer));
            mReadAnew.run();
        }
    }

    private long activeVersion() {
        return mState.configurationVersion().orElse(-1L);
    }
}
