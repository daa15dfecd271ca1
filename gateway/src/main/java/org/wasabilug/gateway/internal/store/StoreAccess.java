package org.wasabilug.gateway.internal.store;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import org.wasabilug.gateway.protocol.StorePage;
import org.wasabilug.gateway.protocol.StoreProtocol;
import org.wasabilug.gateway.protocol.UnreadableException;

/**
 * How the parts of one instance reach the store.
 *
 * @param loops event loop
 * @param address address of the store
 * @param protocol formats of the store
 * @param era newest era of the store that is known
 */
public record StoreAccess(
        EventLoopGroup loops, InetSocketAddress address, StoreProtocol protocol, StoreEra era) {
    /**
     * Returns the page that a response brings, and notes its era.
     *
     * @param response response to a read of rows or changes
     * @throws UnreadableException if there is no page, or it is of an earlier era than the newest;
     *     the message says why
     */
    StorePage page(StoreResponse response) {
        if (!response.successful()) {
            throw new UnreadableException(
                    response.answered() ? "status " + response.status() : response.reason());
        }
        if (!era.observe(response.era())) {
            throw new UnreadableException("response of an earlier era");
        }
        return protocol.readPage(response.body(), era.newest());
    }
}
