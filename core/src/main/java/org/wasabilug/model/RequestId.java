package org.wasabilug.model;

/**
 * Identity of one caller's request. A repeated submission under the same idempotency key keeps it.
 *
 * @param value 1 to 200 printable characters without spaces
 */
public record RequestId(String value) {
    @Override
    public String toString() {
        return value;
    }
}
