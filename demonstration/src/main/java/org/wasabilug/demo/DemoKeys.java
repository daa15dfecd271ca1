package org.wasabilug.demo;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import org.wasabilug.model.SaltedHash;

/** Keys that exist for the length of the demonstration only. */
final class DemoKeys {
    static final String OPERATOR = "anne";
    static final String OPERATOR_KEY = "demonstration-operator-key";
    static final String WORKSPACE = "cold-rooms";
    static final String WORKSPACE_KEY = "demonstration-workspace-key";

    private static final String SALT = "5ec7e7005ec7e7005ec7e7005ec7e700";

    private DemoKeys() {}

    static SaltedHash hash(String key) {
        byte[] hash =
                Hashing.sha256()
                        .newHasher()
                        .putBytes(BaseEncoding.base16().lowerCase().decode(SALT))
                        .putBytes(key.getBytes(StandardCharsets.UTF_8))
                        .hash()
                        .asBytes();
        return new SaltedHash(SALT, BaseEncoding.base16().lowerCase().encode(hash));
    }
}
