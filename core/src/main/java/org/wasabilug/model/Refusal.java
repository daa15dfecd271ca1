package org.wasabilug.model;

import java.time.Duration;
import java.util.Optional;
import org.wasabilug.error.ErrorCode;

/**
 * Reason why a request is not answered completely.
 *
 * @param code stable code for programs
 * @param message description of what happened, why, and what to do next
 * @param runState whether any of the work has run
 * @param retryAfter time after which a retry may succeed; empty if no retry can
 */
public record Refusal(
        ErrorCode code, String message, RunState runState, Optional<Duration> retryAfter) {}
