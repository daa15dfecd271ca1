package org.wasabilug.error;

/** Stable error codes; programs may depend on them. */
public enum ErrorCode {
    /** A name does not match the rules for names. */
    INVALID_NAME,
    /** A request body is not valid JSON of the expected format. */
    INVALID_BODY,
    /** Settings of a process are missing or invalid. */
    INVALID_SETTINGS,
    /** A ticket has findings and was not accepted. */
    INVALID_TICKET,
    /** An object that the ticket changes already has a newer ticket. */
    TICKET_SUPERSEDED,
    /** The ticket's number has already been used with different content. */
    TICKET_CONFLICT,
    /** The key is missing or unknown. */
    UNAUTHENTICATED,
    /** The key is valid but does not permit the operation. */
    FORBIDDEN,
    /** No such pipeline, service, request or object. */
    NOT_FOUND,
    /** The deadline is zero, negative or above the maximum. */
    INVALID_DEADLINE,
    /** The request body exceeds the limit. */
    BODY_TOO_LARGE,
    /** The idempotency key has already been used with a different body or pipeline. */
    IDEMPOTENCY_CONFLICT,
    /** A pipeline with a stage that may not be repeated needs an idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED,
    /** The same request is already running. */
    ALREADY_RUNNING,
    /** The workspace has exceeded its limits. */
    WORKSPACE_LIMIT,
    /** No capacity is available within the deadline. */
    OVERLOADED,
    /** No endpoint of a pool accepts work. */
    NO_ENDPOINT,
    /** The deadline expired before the answer was complete. */
    DEADLINE_EXCEEDED,
    /** An endpoint rejected the call as invalid. */
    STAGE_REJECTED,
    /** A stage failed and must not or can't be retried. */
    STAGE_FAILED,
    /** The content of the request crashed endpoints and is quarantined. */
    QUARANTINED,
    /** The platform's table service does not answer. */
    PLATFORM_UNAVAILABLE,
    /** It is currently unknown whether an earlier attempt has run. */
    OUTCOME_UNKNOWN,
    /** The instance is stopping and accepts no new requests. */
    STOPPING,
    /** An internal error. */
    INTERNAL
}
