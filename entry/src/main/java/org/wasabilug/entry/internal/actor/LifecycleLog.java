package org.wasabilug.entry.internal.actor;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.model.RequestId;

/** Logs lifecycle events of an instance. The lines contain neither secrets nor bodies. */
public final class LifecycleLog {
    private static final Logger LOGGER = LogManager.getLogger("wasabilug.lifecycle");

    private LifecycleLog() {}

    /**
     * Logs that the instance listens.
     *
     * @param callers base address of the callers' interface
     * @param operators base address of the operators' interface
     */
    public static void started(String callers, String operators) {
        LOGGER.info("Listening for callers at {} and for operators at {}", callers, operators);
    }

    /** Logs the beginning of a planned stop. */
    public static void stopping() {
        LOGGER.info("Planned stop started; requests in flight will be completed");
    }

    /** Logs the end of a planned stop. */
    public static void stopped() {
        LOGGER.info("Planned stop finished; every request in flight was answered");
    }

    static void operationFailed(OperationId operation, Throwable failure) {
        LOGGER.error(
                "Platform client failed operation {} with an exception instead of an outcome",
                operation,
                failure);
    }

    static void answerOverflowed(RequestId request) {
        LOGGER.warn("Answer of request {} aborted: it exceeded the limit for one caller", request);
    }
}
