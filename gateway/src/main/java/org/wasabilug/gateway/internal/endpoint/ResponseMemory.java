package org.wasabilug.gateway.internal.endpoint;

/** Limits the memory that the responses of endpoints take until they can be passed on. */
public final class ResponseMemory {
    private static final long MAX_TOTAL_BYTES = 24L << 20;

    /** A response may always take so much, so that large ones can't displace small ones. */
    private static final int GUARANTEED_BYTES = 64 << 10;

    private long mTotalBytes;

    /**
     * Creates an account that takes no memory yet.
     *
     * @param maxBytes most that it may take, in bytes
     */
    public Account open(int maxBytes) {
        return new Account(maxBytes);
    }

    /** Memory that one response takes. */
    public final class Account {
        private final int mMaxBytes;
        private int mBytes;

        private Account(int maxBytes) {
            mMaxBytes = maxBytes;
        }

        /**
         * Sets how much memory the response takes.
         *
         * @param bytes the size in bytes; a smaller one gives memory back
         * @return false if a limit forbids it; the former size stays
         */
        public boolean resize(int bytes) {
            long total = mTotalBytes - mBytes + bytes;
            boolean allowed =
                    bytes <= GUARANTEED_BYTES || bytes <= mMaxBytes && total <= MAX_TOTAL_BYTES;
            if (bytes > mBytes && !allowed) {
                return false;
            }
            mTotalBytes = total;
            mBytes = bytes;
            return true;
        }

        /** Gives all memory back. */
        public void release() {
            resize(0);
        }
    }
}
