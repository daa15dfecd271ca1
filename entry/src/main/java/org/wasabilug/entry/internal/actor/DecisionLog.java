package org.wasabilug.entry.internal.actor;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.wasabilug.internal.event.Decision;

/** Writes one log line for each decision. */
public final class DecisionLog {
    private static final Logger LOGGER = LogManager.getLogger("wasabilug.decision");

    private DecisionLog() {}

    /**
     * Writes the line.
     *
     * @param decision the decision
     */
    public static void write(Decision decision) {
        if (!LOGGER.isInfoEnabled()) {
            return;
        }
        StringMapMessage message =
                new StringMapMessage(Decision.class.getRecordComponents().length)
                        .with("kind", decision.kind())
                        .with("request", decision.request())
                        .with("workspace", decision.workspace())
                        .with("stage", decision.stage())
                        .with("candidates", decision.candidates())
                        .with("chosen", decision.chosen())
                        .with("reason", decision.reason())
                        .with("remainingMilliseconds", decision.remainingMilliseconds());
        LOGGER.info(message);
    }
}
