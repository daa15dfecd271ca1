package org.wasabilug.error;

import java.time.Duration;
import java.util.Optional;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RunState;

/** Words every exception and refusal of the system. */
public final class Reporter {
    private Reporter() {}

    /**
     * A name breaks the rules for names.
     *
     * @param kind what is named
     * @param value the name, may be null
     * @return the exception to throw
     */
    public static WasabilugException invalidName(String kind, String value) {
        return new WasabilugException(
                ErrorCode.INVALID_NAME,
                "The "
                        + kind
                        + " '"
                        + value
                        + "' is not a valid name. Use 1 to 100 letters, digits, dots, underscores"
                        + " or hyphens.");
    }

    /**
     * A state that only a defect of the system can bring about.
     *
     * @param detail what was seen
     * @return the exception to throw
     */
    public static WasabilugException defect(String detail) {
        return new WasabilugException(
                ErrorCode.INTERNAL,
                "The system reached a state that it should never reach: "
                        + detail
                        + ". Please report it with the log lines around it.");
    }

    /**
     * A request gets no complete answer.
     *
     * @param code stable code
     * @param runState whether the work has run
     * @param retryAfter when trying again makes sense; empty where it never does
     * @return the refusal to send
     */
    public static Refusal refusal(
            ErrorCode code, RunState runState, Optional<Duration> retryAfter) {
        return new Refusal(code, cause(code) + " " + advice(runState), runState, retryAfter);
    }

    private static String cause(ErrorCode code) {
        return switch (code) {
            case ALREADY_RUNNING -> "The same request is running at this moment.";
            case DEADLINE_EXCEEDED -> "The deadline passed before the answer was complete.";
            case IDEMPOTENCY_CONFLICT ->
                    "The idempotency key was used before with another body or pipeline.";
            case IDEMPOTENCY_KEY_REQUIRED ->
                    "The pipeline has a stage that may not be repeated, so the request needs an"
                            + " Idempotency-Key header.";
            case NO_ENDPOINT -> "No endpoint of a stage may take work now.";
            case NOT_FOUND -> "The pipeline, one of its pools or the workspace is not configured.";
            case OUTCOME_UNKNOWN ->
                    "A stage that may not be repeated may have run, and its result is not known.";
            case OVERLOADED -> "No capacity is left within the deadline.";
            case PLATFORM_UNAVAILABLE ->
                    "A stage that may not be repeated can't be claimed, since the platform's table"
                            + " service does not answer.";
            case QUARANTINED -> "Endpoints crashed while they ran this content.";
            case STAGE_FAILED -> "A stage failed and can't be retried within the limits.";
            case STAGE_REJECTED -> "An endpoint refused the input of a stage as wrong.";
            case STOPPING -> "This instance is stopping.";
            case WORKSPACE_LIMIT -> "The workspace is over its limits.";
            default -> "The request failed with code " + code + ".";
        };
    }

    private static String advice(RunState runState) {
        return switch (runState) {
            case NOT_RUN -> "Nothing was run; it is safe to send the request again.";
            case RAN -> "Part of the work has run; its result is not complete.";
            case OUTCOME_UNKNOWN ->
                    "Whether the work has run is not known; ask again with the same idempotency"
                            + " key.";
        };
    }
}
