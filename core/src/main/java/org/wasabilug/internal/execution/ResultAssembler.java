package org.wasabilug.internal.execution;

import java.util.TreeMap;

/**
 * Puts a stage result together from its parts. Repeated parts change nothing and early parts wait
 * until the gap before them is filled.
 */
final class ResultAssembler {
    /** Most early parts that are kept; an endpoint that sends more of them is out of order. */
    static final int MAXIMUM_OUT_OF_ORDER_PARTS = 64;

    private static final int UNKNOWN_LENGTH = -1;

    private final StringBuilder mText = new StringBuilder();
    private final TreeMap<Integer, String> mOutOfOrderParts = new TreeMap<>();
    private int mTotalLength = UNKNOWN_LENGTH;

    /**
     * Takes a part.
     *
     * @param offset characters of the result before the part
     * @param part its text
     * @return what the result has grown by; empty where it has not grown
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
                    offset, part, (held, more) -> more.length() > held.length() ? more : held);
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
     * Notes the length of the whole result.
     *
     * @param totalLength in characters
     * @return false where more than that has already arrived, which contradicts it
     */
    boolean setTotalLength(int totalLength) {
        mTotalLength = totalLength;
        return mText.length() <= totalLength;
    }

    /** Forgets what depends on the attempt that failed; the result so far stays. */
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
