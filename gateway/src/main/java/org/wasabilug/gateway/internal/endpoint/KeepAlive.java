package org.wasabilug.gateway.internal.endpoint;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Keep-alive of connections on which responses are awaited. An idle connection whose other end
 * vanished without a word is broken off after {@value #IDLE_SECONDS} s and {@value #PROBES} probes,
 * {@value #INTERVAL_SECONDS} s each.
 */
public final class KeepAlive {
    private static final int IDLE_SECONDS = 1;
    private static final int INTERVAL_SECONDS = 1;
    private static final int PROBES = 2;

    private KeepAlive() {}

    /** Sets an option of connections. */
    public interface OptionSetter {
        /**
         * Sets an option.
         *
         * @param option the option
         * @param value its value
         * @param <T> type of the value
         */
        <T> void set(ChannelOption<T> option, T value);
    }

    /**
     * Sets the options.
     *
     * @param connections takes the options of the connections
     */
    public static void apply(OptionSetter connections) {
        connections.set(ChannelOption.SO_KEEPALIVE, true);
        connections.set(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS);
        connections.set(
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS);
        connections.set(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
    }
}
