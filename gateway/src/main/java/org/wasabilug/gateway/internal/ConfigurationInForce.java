package org.wasabilug.gateway.internal;

import java.util.Optional;
import org.wasabilug.internal.serving.RouteTable;

/** A configuration that was in force, and the one that followed it. */
public final class ConfigurationInForce {
    private final Optional<RouteTable> mRoutes;
    private Optional<ConfigurationInForce> mNext = Optional.empty();

    private ConfigurationInForce(Optional<RouteTable> routes) {
        mRoutes = routes;
    }

    /** Returns the state before the first configuration. */
    static ConfigurationInForce none() {
        return new ConfigurationInForce(Optional.empty());
    }

    /** Returns the configuration that is in force from now on instead of this one. */
    ConfigurationInForce followedBy(RouteTable routes) {
        ConfigurationInForce next = new ConfigurationInForce(Optional.of(routes));
        mNext = Optional.of(next);
        return next;
    }

    /** Returns the index of this configuration; empty before the first is loaded. */
    public Optional<RouteTable> routes() {
        return mRoutes;
    }

    /** Returns the configuration that followed this one; empty while this one is in force. */
    public Optional<ConfigurationInForce> next() {
        return mNext;
    }
}
