package org.wasabilug.entry.internal.actor;

import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.MapMessage;
import org.wasabilug.internal.event.Decision;

/** Writes one log line for each decision. */
public final class DecisionLog {
    private static final Logger LOGGER = LogManager.getLogger("wasabilug.decision");

    private DecisionLog() {}

    /**
     * Writes one line, unless the logger's level is above INFO.
     *
     * @param decision decision to log
     */
    public static void write(Decision decision) {
        if (!LOGGER.isInfoEnabled()) {
            return;
        }
        MapMessage<?, Object> message = new MapMessage<>(fieldsOf(decision));
        LOGGER.info(message);
    }

    private static Map<String, Object> fieldsOf(Decision decision) {
        return Map.of(
                "kind", decision.kind(),
                "request", decision.request(),
                "workspace", decision.workspace(),
                "stage", decision.stage(),
                "candidates", decision.candidates(),
                "chosen", decision.chosen(),
                "reason", decision.reason(),
                "remainingMilliseconds", decision.remainingMilliseconds());
    }
}
