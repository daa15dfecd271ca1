package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wasabilug.serving.CallerLimits;
import org.wasabilug.serving.RequestKind;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.ServingConfiguration;
import org.wasabilug.serving.WeightedService;

class RouteTableTest {
    /** Guards against response times that are kept for any name a peer reports. */
    @Test
    void onlyConfiguredRoutesAreKnownByName() {
        List<WeightedService> services = List.of(new WeightedService("ledger", 1));
        Route route =
                new Route(
                        "lookup",
                        "host",
                        "/",
                        RequestKind.STREAM,
                        6_000,
                        2_000,
                        400,
                        0,
                        services,
                        1,
                        List.of(),
                        false,
                        false);
        RouteTable table =
                new RouteTable(
                        new ServingConfiguration(
                                1,
                                List.of(route),
                                List.of(),
                                CallerLimits.DEFAULT,
                                false,
                                List.of()));

        assertThat(table.hasRoute("lookup")).isTrue();
        assertThat(table.hasRoute("other")).isFalse();
    }
}
