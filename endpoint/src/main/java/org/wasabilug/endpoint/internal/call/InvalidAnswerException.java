package org.wasabilug.endpoint.internal.call;

import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.WasabilugException;
import org.wasabilug.internal.event.FailureKind;

/** An endpoint sent an answer without a valid result. */
final class InvalidAnswerException extends WasabilugException {
    private final transient FailureKind mKind;

    InvalidAnswerException(FailureKind kind, String message) {
        super(ErrorCode.STAGE_FAILED, message);
        mKind = kind;
    }

    FailureKind kind() {
        return mKind;
    }
}
