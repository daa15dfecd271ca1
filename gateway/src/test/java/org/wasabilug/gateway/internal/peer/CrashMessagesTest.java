package org.wasabilug.gateway.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.serving.CrashObservation;
import org.wasabilug.messages.gateway.CrashReport;
import org.wasabilug.messages.gateway.GatewayEnvelope;

class CrashMessagesTest {
    private static final CrashObservation OBSERVATION =
            new CrashObservation(
                    "ledger-1", "rennes", "ledger", 1_000, -7, Long.MIN_VALUE, Set.of(-1L, 5L));

    @Test
    void aReportKeepsEverythingAndTheAgeOfTheCrash() throws Exception {
        CrashReport sent = CrashMessages.report(OBSERVATION, 1_250);
        CrashReport received = CrashReport.parseFrom(sent.toByteArray());

        assertThat(CrashMessages.observation(received, 90_250))
                .isEqualTo(
                        new CrashObservation(
                                "ledger-1",
                                "rennes",
                                "ledger",
                                90_000,
                                -7,
                                Long.MIN_VALUE,
                                Set.of(-1L, 5L)));
    }

    @Test
    void aReportOfAnOlderSenderIsACrashOfItsContentNow() {
        CrashReport received =
                CrashReport.newBuilder().setFingerprint(9).setEndpoint("ledger-1").build();

        assertThat(CrashMessages.observation(received, 500))
                .isEqualTo(new CrashObservation("ledger-1", "", "", 500, 0, 9, Set.of()));
    }

    @Test
    void anAcquittalKeepsItsFeaturesAndItsAge() throws Exception {
        GatewayEnvelope sent =
                CrashMessages.acquittal(
                        GatewayEnvelope.newBuilder().setSender("gateway-1"), Set.of(3L, -4L), 60);
        GatewayEnvelope received = GatewayEnvelope.parseFrom(sent.toByteArray());

        assertThat(CrashMessages.acquitted(received)).containsExactlyInAnyOrder(3L, -4L);
        assertThat(CrashMessages.answerAgeMillis(received)).isEqualTo(60);
    }

    @Test
    void anotherMessageAcquitsNothing() {
        assertThat(CrashMessages.acquitted(GatewayEnvelope.getDefaultInstance())).isEmpty();
    }
}
