package org.wasabilug.model;

/**
 * Salted hash of a key; the key itself is never stored.
 *
 * @param salt lower-case hexadecimal salt
 * @param hash lower-case hexadecimal SHA-256 over salt bytes followed by the key's UTF-8 bytes
 */
public record SaltedHash(String salt, String hash) {}
