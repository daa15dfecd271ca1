package org.wasabilug.gateway.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.serving.PieceId;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.Repetition;

/** Without its workspace a piece would take part in the shares of older senders. */
class PieceWorkspaceTest {
    @Test
    void aPieceKeepsItsWorkspaceOnTheWayToAnotherInstance() {
        PieceWork work =
                new PieceWork(
                        new PieceId("request-1", 1, 2),
                        "encoder",
                        "key",
                        List.of("input"),
                        200,
                        1,
                        300,
                        10,
                        "rennes",
                        50,
                        Repetition.NONE,
                        "workspace-1");

        assertThat(PieceMessages.work(PieceMessages.order(work, 100), 100)).isEqualTo(work);
    }
}
