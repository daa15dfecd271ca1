package org.wasabilug.entry.internal.security;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.wasabilug.model.SaltedHash;

/** Compares keys with salted hashes in constant time. */
public final class KeyCheck {
    private static final SaltedHash NO_KEY =
            new SaltedHash("00000000000000000000000000000000", "0".repeat(64));

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
        SaltedHash hash = expected.filter(KeyCheck::isWellFormed).orElse(NO_KEY);
        byte[] actual = hashOf(BaseEncoding.base16().lowerCase().decode(hash.salt()), key);
        byte[] wanted = BaseEncoding.base16().lowerCase().decode(hash.hash());
        return MessageDigest.isEqual(actual, wanted) && hash != NO_KEY;
    }

    private static boolean isWellFormed(SaltedHash hash) {
        BaseEncoding encoding = BaseEncoding.base16().lowerCase();
        return hash.salt() != null
                && hash.hash() != null
                && encoding.canDecode(hash.salt())
                && encoding.canDecode(hash.hash());
    }

    private static byte[] hashOf(byte[] salt, String key) {
        return Hashing.sha256()
                .newHasher()
                .putBytes(salt)
                .putBytes(key.getBytes(StandardCharsets.UTF_8))
                .hash()
                .asBytes();
    }
}
