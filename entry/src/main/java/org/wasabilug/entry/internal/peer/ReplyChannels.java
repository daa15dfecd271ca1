package org.wasabilug.entry.internal.peer;

import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.model.InstanceName;

/**
 * The connection over which the last message of each instance arrived. Used only on the transport's
 * event loop.
 */
final class ReplyChannels {
    private final Map<InstanceName, Channel> mChannels = new HashMap<>();

    void update(InstanceName sender, Channel channel) {
        mChannels.put(sender, channel);
    }

    void remove(Channel channel) {
        mChannels.values().removeIf(each -> each == channel);
    }

    Optional<Channel> find(InstanceName peer) {
        return Optional.ofNullable(mChannels.get(peer));
    }
}
