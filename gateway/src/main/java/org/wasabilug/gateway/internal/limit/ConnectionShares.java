package org.wasabilug.gateway.internal.limit;

import org.wasabilug.gateway.CallerSettings;
import org.wasabilug.gateway.FeatureSettings.MachineLimits;

/**
 * How many connections each listener may have open. The rest of the descriptors is for connections
 * to endpoints, peers and the store.
 *
 * @param callers connections of callers
 * @param readiness connections of readiness checks and metrics
 * @param peers connections from other instances
 * @param relays relayed connections, each with two descriptors
 */
public record ConnectionShares(int callers, int readiness, int peers, int relays) {
    /** Assumed of a machine that states none; leaves relays the 800 connections they had before. */
    private static final int UNKNOWN_DESCRIPTORS = 8_192;

    private static final int MIN_USABLE = 64;
    private static final int PARTS = 16;

    /** The rest is for connections to endpoints, which are pooled and so fewer than callers. */
    private static final int CALLER_PARTS = 5;

    /**
     * The instance that sends for a stage service may have a connection from each of 450 others,
     * the design size, on a machine with 2,212 descriptors.
     */
    private static final int PEER_PARTS = 4;

    private static final int RELAY_PARTS = 2;
    private static final int MAX_READINESS = 64;
    private static final int MAX_RELAYS = 800;

    /**
     * Divides the descriptors of a machine.
     *
     * @param machine what the machine gives
     * @param settings limits of callers
     */
    public static ConnectionShares of(MachineLimits machine, CallerSettings settings) {
        int descriptors = machine.descriptors() > 0 ? machine.descriptors() : UNKNOWN_DESCRIPTORS;
        int usable = Math.max(MIN_USABLE, descriptors - settings.reservedDescriptors());
        int part = usable / PARTS;
        int callers = CALLER_PARTS * part;
        return new ConnectionShares(
                settings.maxConnections() > 0 ? settings.maxConnections() : callers,
                Math.min(MAX_READINESS, part),
                PEER_PARTS * part,
                Math.min(MAX_RELAYS, RELAY_PARTS * part));
    }
}
