package org.wasabilug.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import org.apache.pekko.actor.ActorSystem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.endpoint.HttpEndpointClient;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceEvent;

class ConnectionReuseTest {
    private ActorSystem mSystem;
    private HttpEndpointClient mClient;

    @BeforeEach
    void start() {
        mSystem = StandInSystem.start("kept-connection-test");
        mClient = HttpEndpointClient.builder().actorSystem(mSystem).build();
    }

    @AfterEach
    void stop() {
        mClient.close();
        mSystem.terminate();
    }

    @Test
    void neverResendsFailedCallsToTheRestartedEndpoint() {
        int restarts = 5;
        StandInEndpoint endpoint = StandInEndpoint.builder().actorSystem(mSystem).start();
        URI address = endpoint.baseUri();
        for (int number = 0; number < restarts; number++) {
            run(address, "warm-" + number).await(InstanceEvent.StageFinished.class);
            endpoint.close();
            InstanceEvent.StageFailed failed =
                    run(address, "closed-" + number).await(InstanceEvent.StageFailed.class);

            assertThat(failed.kind())
                    .isIn(FailureKind.CONNECTION_REFUSED, FailureKind.CONNECTION_LOST);
            endpoint =
                    StandInEndpoint.builder().actorSystem(mSystem).port(address.getPort()).start();
            assertThat(endpoint.receivedCalls("closed-" + number, TestCalls.STAGE)).isZero();
        }
        endpoint.close();
    }

    private RecordedEvents run(URI address, String request) {
        RecordedEvents events = new RecordedEvents();
        mClient.run(TestCalls.streamed(address, request), events);
        return events;
    }
}
