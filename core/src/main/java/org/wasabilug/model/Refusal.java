package org.wasabilug.model;

import java.time.Duration;
import java.util.Optional;
import org.wasabilug.error.ErrorCode;

/**
 * Why a request gets no complete answer.
 *
 * @param code stable code for programs
 * @param message what happened, why, and what to do next
 * @param runState whether the work has run
 * @param retryAfter when trying again makes sense; empty where it never does
 */
public record Refusal(
        ErrorCode code, String message, RunState runState, Optional<Duration> retryAfter) {}
