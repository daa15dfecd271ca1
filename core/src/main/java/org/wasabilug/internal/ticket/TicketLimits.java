package org.wasabilug.internal.ticket;

import java.time.Duration;

/** Limits that apply to every ticket. */
final class TicketLimits {
    static final int MAXIMUM_CHANGES = 1_000;
    static final int MAXIMUM_STAGES = 12;
    static final int MAXIMUM_CONCURRENCY = 100_000;
    static final int MAXIMUM_SHARE_WEIGHT = 1_000;
    static final double MAXIMUM_REQUESTS_PER_SECOND = 1_000_000;
    static final int MAXIMUM_TEXT_LENGTH = 200;
    static final Duration MINIMUM_DEADLINE = Duration.ofMillis(1);
    static final Duration MAXIMUM_DEADLINE = Duration.ofMinutes(10);

    private TicketLimits() {}
}
