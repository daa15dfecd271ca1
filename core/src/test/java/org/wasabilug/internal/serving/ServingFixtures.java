package org.wasabilug.internal.serving;

import java.util.List;
import java.util.Optional;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.EngineCapacity;
import org.wasabilug.serving.PromptPart;
import org.wasabilug.serving.ServiceSpecification;
import org.wasabilug.serving.StageCapacity;
import org.wasabilug.serving.StoreRevision;

/** Test data for the tests of this package. */
final class ServingFixtures {
    static final StageCapacity STAGE = new StageCapacity(1, 2, 4, 150, 10, 1, 4_000);

    private ServingFixtures() {}

    static EndpointRegistration registration(String name, String domain) {
        return new EndpointRegistration(
                name,
                "service",
                "10.0.0.1",
                80,
                domain,
                2,
                false,
                0,
                0,
                "v1",
                new StoreRevision(0, 1));
    }

    static EndpointState endpoint(String name, String domain) {
        return new EndpointState(registration(name, domain), 0);
    }

    static ServiceSpecification engines(double coldRequestsPerSecond) {
        return new ServiceSpecification(
                "service",
                "/health",
                100,
                3_000,
                coldRequestsPerSecond,
                Optional.of(new EngineCapacity(64, 100_000)),
                Optional.empty());
    }

    static PromptSize prompt(String sharedPart) {
        return PromptSize.of(
                3_000,
                100,
                List.of(new PromptPart(sharedPart, 2_500), new PromptPart(sharedPart + "x", 500)));
    }

    static PieceWork piece(String request, int piece, long startByMillis, int rank) {
        return new PieceWork(
                new PieceId(request, 0, piece),
                "service",
                "key",
                List.of(),
                startByMillis,
                rank,
                100_000,
                1_000,
                "",
                0,
                Repetition.NONE,
                "");
    }
}
