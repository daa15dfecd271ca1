package org.wasabilug.error;

import java.time.Duration;
import java.util.Optional;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RunState;

/** Creates the exceptions and refusals of the system with their messages. */
public final class Reporter {
    private Reporter() {}

    /**
     * Returns an exception for a name that does not match the rules for names.
     *
     * @param kind type of the named object
     * @param value the name, may be null
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
     * Returns an exception for a state that only a bug in the system can cause.
     *
     * @param detail description of the state
     */
    public static WasabilugException defect(String detail) {
        return new WasabilugException(
                ErrorCode.INTERNAL,
                "Internal error: "
                        + detail
                        + ". Please report this bug with the surrounding log lines.");
    }

    /**
     * Returns a refusal for a request that is not answered completely.
     *
     * @param code stable code
     * @param runState whether any of the work has run
     * @param retryAfter time after which a retry may succeed; empty if no retry can
     */
    public static Refusal refusal(
            ErrorCode code, RunState runState, Optional<Duration> retryAfter) {
        return new Refusal(code, cause(code) + " " + advice(runState), runState, retryAfter);
    }

    private static String cause(ErrorCode code) {
        return switch (code) {
            case ALREADY_RUNNING -> "The same request is already running.";
            case DEADLINE_EXCEEDED -> "The deadline expired before the answer was complete.";
            case IDEMPOTENCY_CONFLICT ->
                    "The idempotency key has already been used with a different body or pipeline.";
            case IDEMPOTENCY_KEY_REQUIRED ->
                    "The pipeline has a stage that may not be repeated, so the request needs an"
                            + " Idempotency-Key header.";
            case NO_ENDPOINT -> "No endpoint of a stage currently accepts work.";
            case NOT_FOUND -> "The pipeline, one of its pools or the workspace is not configured.";
            case OUTCOME_UNKNOWN ->
                    "A stage that may not be repeated may have run, and its result is unknown.";
            case OVERLOADED -> "No capacity is available within the deadline.";
            case PLATFORM_UNAVAILABLE ->
                    "A stage that may not be repeated can't be claimed, because the platform's"
                            + " table service does not answer.";
            case QUARANTINED -> "Endpoints crashed while they processed this content.";
            case STAGE_FAILED -> "A stage failed and can't be retried within the limits.";
            case STAGE_REJECTED -> "An endpoint rejected the input of a stage as invalid.";
            case STOPPING -> "This instance is stopping.";
            case WORKSPACE_LIMIT -> "The workspace has exceeded its limits.";
            default -> "The request failed with code " + code + ".";
        };
    }

    private static String advice(RunState runState) {
        return switch (runState) {
            case NOT_RUN -> "No work has run; it is safe to retry the request.";
            case RAN -> "Part of the work has run; its result is incomplete.";
            case OUTCOME_UNKNOWN ->
                    "It is unknown whether the work has run; retry with the same idempotency"
                            + " key.";
        };
    }
}
