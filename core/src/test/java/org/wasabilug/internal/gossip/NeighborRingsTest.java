package org.wasabilug.internal.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class NeighborRingsTest {
    private static final int INSTANCES = 95;
    private static final int DOMAINS = 5;

    private static String name(int index) {
        return "instance-" + index;
    }

    private static String domain(int index) {
        return "domain-" + index % DOMAINS;
    }

    private static NeighborRings ringsOf(int index) {
        NeighborRings rings = new NeighborRings(name(index), domain(index));
        for (int other = 0; other < INSTANCES; other++) {
            rings.place(name(other), domain(other));
        }
        return rings;
    }

    @Test
    void instancesChooseEachOther() {
        Map<String, Set<String>> neighbors = new HashMap<>();
        for (int index = 0; index < INSTANCES; index++) {
            neighbors.put(name(index), ringsOf(index).neighbors(name -> true));
        }

        neighbors.forEach(
                (name, chosen) -> {
                    assertThat(chosen).hasSizeBetween(2, 4).doesNotContain(name);
                    chosen.forEach(each -> assertThat(neighbors.get(each)).contains(name));
                });
    }

    @Test
    void theNextEligibleInstancesTakeThePlaceOfOthers() {
        NeighborRings rings = ringsOf(0);
        Set<String> expected = rings.neighbors(name -> true);

        assertThat(rings.neighbors(name -> !expected.contains(name)))
                .isNotEmpty()
                .doesNotContainAnyElementsOf(expected);
        assertThat(rings.neighbors(name -> false)).isEmpty();
    }

    @Test
    void anInstanceMovesToItsFailureDomainOnceThatIsKnown() {
        NeighborRings rings = new NeighborRings("a", "domain-1");
        rings.place("b", "");
        rings.place("b", "domain-1");

        assertThat(rings.neighbors(name -> true)).containsExactly("b");
    }
}
