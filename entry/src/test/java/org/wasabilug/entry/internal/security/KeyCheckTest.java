package org.wasabilug.entry.internal.security;

import static org.assertj.core.api.Assertions.assertThat;

import java.security.SecureRandom;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.SaltedHash;

class KeyCheckTest {
    private final SaltedHash mHash = SaltedHash.of("right", new SecureRandom());

    @Test
    void acceptsMatchingKey() {
        assertThat(KeyCheck.matches("right", Optional.of(mHash))).isTrue();
    }

    @Test
    void refusesOtherKey() {
        assertThat(KeyCheck.matches("wrong", Optional.of(mHash))).isFalse();
    }

    @Test
    void refusesEveryKeyWithoutHash() {
        assertThat(KeyCheck.matches("", Optional.empty())).isFalse();
    }

    @Test
    void refusesEveryKeyForHashThatIsNotHexadecimal() {
        assertThat(KeyCheck.matches("", Optional.of(new SaltedHash("xyz", null)))).isFalse();
    }

    @Test
    void splitsCredentialAtLastDot() {
        assertThat(Credential.parse("Bearer my.workspace.key"))
                .contains(new Credential("my.workspace", "key"));
    }

    @Test
    void omitsKeyFromText() {
        assertThat(new Credential("anne", "secret")).asString().doesNotContain("secret");
    }
}
