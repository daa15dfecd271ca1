package org.wasabilug.gateway;

/**
 * Limits on what all callers together may take of a process, beside the limits per request of the
 * configuration. A value of 0 stands for one that is derived from the machine.
 *
 * @param maxConnections maximum number of connections of callers; 0 for a share of the descriptors
 * @param reservedDescriptors descriptors that are kept for files
 * @param memoryBytes maximum memory of requests that are received or served, in bytes; 0 for a
 *     quarter of the heap
 * @param outputBytes maximum memory of responses that callers have not read, in bytes; 0 for an
 *     eighth of the heap
 * @param maxFields maximum number of fields in a head, and in the trailer of a body
 * @param minBytesPerSecond rate that the body of a request must keep after the header timeout
 */
public record CallerSettings(
        int maxConnections,
        int reservedDescriptors,
        long memoryBytes,
        long outputBytes,
        int maxFields,
        int minBytesPerSecond) {
    /** A head of 16,384 bytes, the limit of the platform, has at most 5,461 fields of 3 bytes. */
    private static final int DEFAULT_FIELDS = 5_500;

    /** A body of 4 MB, the limit of the platform, takes 5 s on a link of 7 Mbit/s. */
    private static final int DEFAULT_BYTES_PER_SECOND = 8_192;

    private static final int DEFAULT_RESERVED_DESCRIPTORS = 200;
    private static final int MEMORY_SHARES = 4;
    private static final int OUTPUT_SHARES = 8;

    /** Limits of a deployment that states none. */
    public static final CallerSettings DEFAULT =
            new CallerSettings(
                    0,
                    DEFAULT_RESERVED_DESCRIPTORS,
                    0,
                    0,
                    DEFAULT_FIELDS,
                    DEFAULT_BYTES_PER_SECOND);

    /**
     * Returns the maximum memory of requests.
     *
     * @param heapBytes maximum size of the heap in bytes
     */
    public long memoryBytes(long heapBytes) {
        return memoryBytes > 0 ? memoryBytes : heapBytes / MEMORY_SHARES;
    }

    /**
     * Returns the maximum memory of responses that callers have not read.
     *
     * @param heapBytes maximum size of the heap in bytes
     */
    public long outputBytes(long heapBytes) {
        return outputBytes > 0 ? outputBytes : heapBytes / OUTPUT_SHARES;
    }
}
