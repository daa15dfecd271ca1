package org.wasabilug.gateway.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wasabilug.internal.serving.PieceOutcome;
import org.wasabilug.messages.gateway.PieceResult;

class UnknownPieceFailureTest {
    /** Guards against a connection that is closed, with all that is on it, for one new reason. */
    @Test
    void anOutcomeWithAReasonOfALaterVersionIsAFailure() {
        PieceResult result =
                PieceResult.newBuilder().setRequest("id-1").setFailure("LATER_REASON").build();

        assertThat(PieceMessages.outcome(result)).isInstanceOf(PieceOutcome.Failed.class);
    }
}
