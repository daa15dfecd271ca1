package org.wasabilug.demo;

import java.security.SecureRandom;
import org.wasabilug.model.SaltedHash;

/** Credentials that are valid only within the demonstration. */
final class DemoKeys {
    static final String OPERATOR = "anne";
    static final String OPERATOR_KEY = "demonstration-operator-key";
    static final String WORKSPACE = "cold-rooms";
    static final String WORKSPACE_KEY = "demonstration-workspace-key";

    private DemoKeys() {}

    static SaltedHash hash(String key) {
        return SaltedHash.of(key, new SecureRandom());
    }
}
