package org.wasabilug.model;

/**
 * Identity of a caller's request. Retries under the same idempotency key have the same identity.
 *
 * @param value 1 to 200 printable characters without spaces
 */
public record RequestId(String value) {
    @Override
    public String toString() {
        return value;
    }
}
