package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class StageSendersTest {
    private final Map<String, Double> mShares = new HashMap<>();

    private Set<String> sendersOfManyServices() {
        Set<String> senders = new HashSet<>();
        for (int service = 0; service < 50; service++) {
            senders.add(StageSenders.choose("service-" + service, mShares));
        }
        return senders;
    }

    @Test
    void servicesAreSpreadOverTheStrongInstancesOnly() {
        mShares.putAll(Map.of("weak-1", 0.36, "weak-2", 0.36, "strong-1", 1.5, "strong-2", 1.2));

        assertThat(sendersOfManyServices()).containsExactlyInAnyOrder("strong-1", "strong-2");
    }

    @Test
    void weakInstancesSendWhereThereAreNoOthers() {
        mShares.putAll(Map.of("weak-1", 0.36, "weak-2", 0.36));

        assertThat(sendersOfManyServices()).containsExactlyInAnyOrder("weak-1", "weak-2");
    }
}
