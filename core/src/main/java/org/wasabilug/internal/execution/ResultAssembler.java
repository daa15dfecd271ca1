package org.wasabilug.internal.execution;

import java.util.TreeMap;

/**
 * Assembles a stage result from its parts. Duplicate parts are ignored and out-of-order parts are
 * buffered until the gap before them is filled.
 */
final class ResultAssembler {
    /** Maximum number of buffered parts; an endpoint that exceeds it is faulty. */
    static final int MAXIMUM_OUT_OF_ORDER_PARTS = 64;

    private static final int UNKNOWN_LENGTH = -1;

    private final StringBuilder mText = new StringBuilder();
    private final TreeMap<Integer, String> mOutOfOrderParts = new TreeMap<>();
    private int mTotalLength = UNKNOWN_LENGTH;

    /**
     * Adds a part.
     *
     * @param offset offset of the part in the result, in characters
     * @param part text of the part
     * @return text that was appended to the result; empty if none was
     */
    String accept(int offset, String part) {
        int before = mText.length();
        if (offset > before) {
            bufferPart(offset, part);
            return "";
        }
        appendNew(offset, part);
        appendBuffered();
        return mText.substring(before);
    }

    private void bufferPart(int offset, String part) {
        if (mOutOfOrderParts.size() < MAXIMUM_OUT_OF_ORDER_PARTS) {
            mOutOfOrderParts.merge(
                    offset, part, (kept, other) -> other.length() > kept.length() ? other : kept);
        }
    }

    private void appendNew(int offset, String part) {
        int known = mText.length() - offset;
        if (known < part.length()) {
            mText.append(part, known, part.length());
        }
    }

    private void appendBuffered() {
        while (!mOutOfOrderParts.isEmpty() && mOutOfOrderParts.firstKey() <= mText.length()) {
            var first = mOutOfOrderParts.pollFirstEntry();
            appendNew(first.getKey(), first.getValue());
        }
    }

    /**
     * Sets the length of the complete result.
     *
     * @param totalLength length in characters
     * @return false if the result is already longer, which contradicts the given length
     */
    boolean setTotalLength(int totalLength) {
        mTotalLength = totalLength;
        return mText.length() <= totalLength;
    }

    /** Discards the state of an ended attempt but keeps the contiguous result so far. */
    void resetAttempt() {
        mOutOfOrderParts.clear();
        mTotalLength = UNKNOWN_LENGTH;
    }

    boolean isComplete() {
        return mTotalLength == mText.length();
    }

    int length() {
        return mText.length();
    }

    String text() {
        return mText.toString();
    }
}
