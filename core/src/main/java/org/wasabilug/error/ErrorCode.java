package org.wasabilug.error;

/** Stable error codes; programs may depend on them. */
public enum ErrorCode {
    /** A name breaks the rules for names. */
    INVALID_NAME,
    /** A body is not the JSON that was expected. */
    INVALID_BODY,
    /** Settings of a process are missing or out of range. */
    INVALID_SETTINGS,
    /** A ticket has findings and was not accepted. */
    INVALID_TICKET,
    /** A touched object already carries a newer ticket. */
    TICKET_SUPERSEDED,
    /** The ticket's number was used before with other content. */
    TICKET_CONFLICT,
    /** The key is missing or unknown. */
    UNAUTHENTICATED,
    /** The key is known but does not allow this. */
    FORBIDDEN,
    /** No such pipeline, service, request or object. */
    NOT_FOUND,
    /** The deadline is zero, negative or too far away. */
    INVALID_DEADLINE,
    /** The body exceeds the limit. */
    BODY_TOO_LARGE,
    /** The idempotency key was used before with another body. */
    IDEMPOTENCY_CONFLICT,
    /** A stage that may not be repeated needs an idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED,
    /** The same request is running at this moment. */
    ALREADY_RUNNING,
    /** The workspace is over its limits. */
    WORKSPACE_LIMIT,
    /** No capacity is left within the deadline. */
    OVERLOADED,
    /** No endpoint of a pool may take work. */
    NO_ENDPOINT,
    /** The deadline passed before the answer was complete. */
    DEADLINE_EXCEEDED,
    /** An endpoint refused the call as wrong. */
    STAGE_REJECTED,
    /** A stage failed and may not or cannot be retried. */
    STAGE_FAILED,
    /** The request crashed endpoints before and is quarantined. */
    QUARANTINED,
    /** The platform's service can't be reached. */
    PLATFORM_UNAVAILABLE,
    /** Whether an earlier attempt has run can't be known now. */
    OUTCOME_UNKNOWN,
    /** The instance is stopping and takes no new requests. */
    STOPPING,
    /** A defect of the system itself. */
    INTERNAL
}
