package org.wasabilug.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;

class EndpointSubsetTest {
    private static final int INSTANCES = 450;
    private static final int ENGINES = 3300;
    private static final int SUBSET_SIZE = RoutingSettings.builder().build().subsetSize();

    private final List<Endpoint> mEndpoints = new ArrayList<>();

    EndpointSubsetTest() {
        for (int index = 0; index < ENGINES; index++) {
            mEndpoints.add(
                    RoutingFixture.endpoint(String.format("engine-%04d", index), domain(index % 3))
                            .build());
        }
    }

    private static FailureDomainName domain(int number) {
        return new FailureDomainName("domain-" + number);
    }

    private List<Endpoint> subset(int instance) {
        InstanceName name = new InstanceName("entry-" + instance);
        return new EndpointSubset(name, domain(instance % 3), SUBSET_SIZE).select(mEndpoints);
    }

    @Test
    void everyEndpointOfALargePoolIsUsedBySomeInstance() {
        Map<EndpointName, Integer> users = new HashMap<>();
        for (int instance = 0; instance < INSTANCES; instance++) {
            subset(instance).forEach(endpoint -> users.merge(endpoint.name(), 1, Integer::sum));
        }

        assertThat(users).hasSize(ENGINES);
        assertThat(users.values())
                .allMatch(count -> count <= 4 * INSTANCES * SUBSET_SIZE / ENGINES);
    }

    @Test
    void hasTheConfiguredSizeAndCoversAllFailureDomains() {
        List<Endpoint> subset = subset(7);

        Set<FailureDomainName> domains = new HashSet<>();
        subset.forEach(endpoint -> domains.add(endpoint.failureDomain()));
        assertThat(subset).hasSize(SUBSET_SIZE);
        assertThat(domains).containsExactlyInAnyOrder(domain(0), domain(1), domain(2));
    }

    @Test
    void replacesAtMostOneMemberWhenAnEndpointIsRemoved() {
        List<Endpoint> before = subset(7);

        mEndpoints.remove(before.getFirst());
        List<Endpoint> after = new ArrayList<>(subset(7));
        after.removeAll(before);

        assertThat(after).hasSize(1);
    }
}
