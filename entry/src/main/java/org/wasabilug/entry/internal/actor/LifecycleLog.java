package org.wasabilug.entry.internal.actor;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.model.RequestId;

/** Words the log lines about the life of an instance; none holds a secret or a body. */
public final class LifecycleLog {
    private static final Logger LOGGER = LogManager.getLogger("wasabilug.lifecycle");

    private LifecycleLog() {}

    /**
     * The instance listens.
     *
     * @param callers base address of the callers' interface
     * @param operators base address of the operators' interface
     */
    public static void started(String callers, String operators) {
        LOGGER.info("The instance serves callers at {} and operators at {}", callers, operators);
    }

    /** A planned stop begins. */
    public static void stopping() {
        LOGGER.info("A planned stop has begun; requests in flight go on until they are answered");
    }

    /** A planned stop has ended. */
    public static void stopped() {
        LOGGER.info("Every request in flight was answered; the instance has stopped");
    }

    static void operationFailed(OperationId operation, Throwable failure) {
        LOGGER.error("The platform adapter broke its contract for {}", operation, failure);
    }

    static void answerOverflowed(RequestId request) {
        LOGGER.warn("The caller of {} reads too slowly; its answer was cut off", request);
    }
}
