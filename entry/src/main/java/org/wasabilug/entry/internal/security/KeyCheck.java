package org.wasabilug.entry.internal.security;

import java.util.Optional;
import org.wasabilug.model.SaltedHash;

/** Compares keys with salted hashes in constant time. */
public final class KeyCheck {
    private static final SaltedHash DUMMY_HASH = new SaltedHash("00".repeat(16), "00".repeat(32));

    private KeyCheck() {}

    /**
     * Tells whether a key belongs to a hash. The work is the same where there is no hash, so that
     * time does not tell which names exist.
     *
     * @param key the key
     * @param expected its salted hash; empty where the name is unknown
     * @return true where both belong together
     */
    public static boolean matches(String key, Optional<SaltedHash> expected) {
        SaltedHash hash = expected.filter(SaltedHash::isWellFormed).orElse(DUMMY_HASH);
        return hash.matches(key) && hash != DUMMY_HASH;
    }
}
