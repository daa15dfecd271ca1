package org.wasabilug.gateway.internal.caller;

/** A head that would exceed a limit if its next field were received. */
final class CallerLimitException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final CallerLimit mLimit;

    CallerLimitException(CallerLimit limit) {
        super(limit.text(), null, false, false);
        mLimit = limit;
    }

    CallerLimit limit() {
        return mLimit;
    }
}
