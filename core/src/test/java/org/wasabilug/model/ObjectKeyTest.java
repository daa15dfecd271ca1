package org.wasabilug.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.wasabilug.error.WasabilugException;

class ObjectKeyTest {
    @Test
    void parsesItsOwnTextFormat() {
        ObjectKey key = new ObjectKey(ObjectKind.POOL, "encoders");

        ObjectKey parsed = ObjectKey.parse(key.toString());

        assertThat(parsed).isEqualTo(key);
    }

    @Test
    void rejectsTextWithUnknownKind() {
        assertThatThrownBy(() -> ObjectKey.parse("CABBAGE/one"))
                .isInstanceOf(WasabilugException.class)
                .hasMessageContaining("CABBAGE/one");
    }
}
