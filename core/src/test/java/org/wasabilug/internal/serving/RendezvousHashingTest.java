package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RendezvousHashingTest {
    private static final List<String> INSTANCES =
            List.of("rennes-1", "rennes-2", "brest-1", "brest-2", "lorient-1", "lorient-2");

    @Test
    void theOrderOfTheInstancesDoesNotMatter() {
        List<String> shuffled = new ArrayList<>(INSTANCES);
        Collections.reverse(shuffled);

        assertThat(RendezvousHashing.choose("task", shuffled, 2))
                .isEqualTo(RendezvousHashing.choose("task", INSTANCES, 2))
                .hasSize(2);
    }

    @Test
    void onlyTheTasksOfALostInstanceMove() {
        List<String> left = INSTANCES.subList(1, INSTANCES.size());
        for (int task = 0; task < 200; task++) {
            String before = RendezvousHashing.choose("task-" + task, INSTANCES, 1).getFirst();
            String after = RendezvousHashing.choose("task-" + task, left, 1).getFirst();
            assertThat(after.equals(before) || before.equals("rennes-1")).isTrue();
        }
    }

    @Test
    void tasksAreSpreadOverAllInstances() {
        Map<String, Integer> counts = new HashMap<>();
        for (int task = 0; task < 6_000; task++) {
            String chosen = RendezvousHashing.choose("task-" + task, INSTANCES, 1).getFirst();
            counts.merge(chosen, 1, Integer::sum);
        }

        assertThat(counts.values()).hasSize(6).allMatch(count -> count > 800 && count < 1_200);
    }
}
