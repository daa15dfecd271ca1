package org.wasabilug.entry.internal.http;

import org.wasabilug.error.ErrorCode;

/** Maps error codes to HTTP status codes. */
public final class ProblemStatus {
    private ProblemStatus() {}

    /** Returns the status code, from 400 to 599, of an error code. */
    public static int of(ErrorCode code) {
        return switch (code) {
            case INVALID_NAME,
                    INVALID_BODY,
                    INVALID_SETTINGS,
                    INVALID_DEADLINE,
                    IDEMPOTENCY_KEY_REQUIRED ->
                    400;
            case UNAUTHENTICATED -> 401;
            case FORBIDDEN -> 403;
            case NOT_FOUND -> 404;
            case TICKET_SUPERSEDED, TICKET_CONFLICT, IDEMPOTENCY_CONFLICT, ALREADY_RUNNING -> 409;
            case BODY_TOO_LARGE -> 413;
            case INVALID_TICKET, STAGE_REJECTED, QUARANTINED -> 422;
            case WORKSPACE_LIMIT -> 429;
            case INTERNAL -> 500;
            case STAGE_FAILED -> 502;
            case OVERLOADED, NO_ENDPOINT, PLATFORM_UNAVAILABLE, OUTCOME_UNKNOWN, STOPPING -> 503;
            case DEADLINE_EXCEEDED -> 504;
        };
    }
}
