package org.wasabilug.entry.internal.security;

import java.util.Optional;
import org.wasabilug.model.SaltedHash;

/** Compares keys with salted hashes in constant time. */
public final class KeyCheck {
    private static final SaltedHash DUMMY_HASH = new SaltedHash("00".repeat(16), "00".repeat(32));

    private KeyCheck() {}

    /**
     * Returns whether a key matches a hash. Without a hash it does the same work, so that the
     * response time does not reveal which names exist.
     *
     * @param key key to check
     * @param expected salted hash of the right key; empty if the name is unknown
     * @return true if the key matches
     */
    public static boolean matches(String key, Optional<SaltedHash> expected) {
        SaltedHash hash = expected.filter(SaltedHash::isWellFormed).orElse(DUMMY_HASH);
        return hash.matches(key) && hash != DUMMY_HASH;
    }
}
