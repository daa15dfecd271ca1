package org.wasabilug.gateway.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.serving.CrashObservation;
import org.wasabilug.messages.gateway.CrashAcquittal;
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
        CrashAcquittal sent = CrashMessages.acquittal(Set.of(3L, -4L), 60);
        GatewayEnvelope envelope = GatewayEnvelope.newBuilder().setCrashAcquittal(sent).build();
        CrashAcquittal received =
                GatewayEnvelope.parseFrom(envelope.toByteArray()).getCrashAcquittal();

        assertThat(received.getFeaturesList()).containsExactlyInAnyOrder(3L, -4L);
        assertThat(received.getAgeMilliseconds()).isEqualTo(60);
    }

    @Test
    void anotherMessageAcquitsNothing() {
        GatewayEnvelope envelope = GatewayEnvelope.getDefaultInstance();

        assertThat(envelope.hasCrashAcquittal()).isFalse();
        assertThat(envelope.getCrashAcquittal().getFeaturesList()).isEmpty();
    }
}
