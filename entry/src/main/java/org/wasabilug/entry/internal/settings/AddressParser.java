package org.wasabilug.entry.internal.settings;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses IP addresses with ports. */
final class AddressParser {
    private AddressParser() {}

    static boolean isAddress(String text) {
        return parse(text).isPresent();
    }

    static Optional<InetSocketAddress> parse(String text) {
        try {
            HostAndPort parsed = HostAndPort.fromString(text);
            return parsed.hasPort() && InetAddresses.isInetAddress(parsed.getHost())
                    ? Optional.of(
                            new InetSocketAddress(
                                    InetAddresses.forString(parsed.getHost()), parsed.getPort()))
                    : Optional.empty();
        } catch (IllegalArgumentException exception) {
            return Optional.empty();
        }
    }
}
