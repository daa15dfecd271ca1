package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class ConnectionRelaysTest {
    private static final EndpointGroup BREST = new EndpointGroup("service", "brest");
    private static final EndpointGroup RENNES = new EndpointGroup("service", "rennes");

    private final UniformRandomProvider mRandom = RandomSource.XO_SHI_RO_256_PP.create(1L);

    @Test
    void instancesThatDoNotReachTheEndpointsRelayNothingToIt() {
        List<RelayCandidate> candidates =
                List.of(
                        new RelayCandidate("cut-off", "rennes", Set.of(BREST, RENNES)),
                        new RelayCandidate("elsewhere", "lorient", Set.of(RENNES)));

        assertThat(choose(candidates)).containsExactly("elsewhere");
    }

    @Test
    void relaysInTheFailureDomainOfTheEndpointsComeFirst() {
        List<RelayCandidate> candidates = new ArrayList<>();
        for (int number = 0; number < 20; number++) {
            candidates.add(new RelayCandidate("far-" + number, "rennes", Set.of()));
        }
        candidates.add(new RelayCandidate("beside", "brest", Set.of()));

        assertThat(choose(candidates)).hasSize(3).first().isEqualTo("beside");
    }

    @Test
    void connectionsAreSpreadOverAllRelays() {
        List<RelayCandidate> candidates = new ArrayList<>();
        for (int number = 0; number < 5; number++) {
            candidates.add(new RelayCandidate("beside-" + number, "brest", Set.of()));
        }
        Set<String> first = new HashSet<>();
        for (int choice = 0; choice < 200; choice++) {
            first.add(choose(candidates).getFirst());
        }

        assertThat(first).hasSize(5);
    }

    @Test
    void anInstanceThatReachesNoEndpointOfAServiceDoesNotSendItsPieces() {
        Map<String, Double> shares = Map.of("cut-off", 1.0, "half", 1.0, "sound", 1.0);
        Map<String, Set<EndpointGroup>> unreachable =
                Map.of(
                        "cut-off", Set.of(BREST, RENNES),
                        "half", Set.of(BREST),
                        "sound", Set.of());

        assertThat(StageSenders.reaching(shares, unreachable::get, Set.of(BREST, RENNES)))
                .containsOnlyKeys("half", "sound");
        assertThat(StageSenders.reaching(shares, unreachable::get, Set.of(BREST)))
                .containsOnlyKeys("sound");
    }

    @Test
    void allInstancesMaySendPiecesIfNoneReachesAnEndpoint() {
        Map<String, Double> shares = Map.of("first", 1.0, "second", 1.0);

        assertThat(StageSenders.reaching(shares, name -> Set.of(BREST), Set.of(BREST))).hasSize(2);
        assertThat(StageSenders.reaching(shares, name -> Set.of(BREST), Set.of())).hasSize(2);
    }

    private List<String> choose(List<RelayCandidate> candidates) {
        return ConnectionRelays.choose(BREST, candidates, 3, mRandom);
    }
}
