package org.wasabilug.gateway.internal.store;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import org.wasabilug.gateway.protocol.StoreProtocol;

/**
 * How the parts of one instance reach the store.
 *
 * @param loops event loop
 * @param address address of the store
 * @param protocol formats of the store
 * @param era newest era of the store that is known
 */
public record StoreAccess(
        EventLoopGroup loops, InetSocketAddress address, StoreProtocol protocol, StoreEra era) {}
