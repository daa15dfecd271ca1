package org.wasabilug.model;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

/**
 * Salted hash of a key; the key itself is never stored.
 *
 * @param salt salt, in lower-case hexadecimal
 * @param hash SHA-256 of the salt bytes followed by the key's UTF-8 bytes, in lower-case
 *     hexadecimal
 */
public record SaltedHash(String salt, String hash) {
    private static final BaseEncoding HEXADECIMAL = BaseEncoding.base16().lowerCase();
    private static final int SALT_BYTES = 16;

    /** Hashes a key with a new random salt. */
    public static SaltedHash of(String key, SecureRandom random) {
        byte[] salt = new byte[SALT_BYTES];
        random.nextBytes(salt);
        return new SaltedHash(HEXADECIMAL.encode(salt), HEXADECIMAL.encode(digest(salt, key)));
    }

    /** Returns whether salt and hash are both valid lower-case hexadecimal. */
    public boolean isWellFormed() {
        return salt != null
                && hash != null
                && HEXADECIMAL.canDecode(salt)
                && HEXADECIMAL.canDecode(hash);
    }

    /**
     * Returns whether this hash, which must be well formed, belongs to the key; compares in
     * constant time.
     */
    public boolean matches(String key) {
        return MessageDigest.isEqual(
                digest(HEXADECIMAL.decode(salt), key), HEXADECIMAL.decode(hash));
    }

    private static byte[] digest(byte[] salt, String key) {
        return Hashing.sha256()
                .newHasher()
                .putBytes(salt)
                .putBytes(key.getBytes(StandardCharsets.UTF_8))
                .hash()
                .asBytes();
    }
}
