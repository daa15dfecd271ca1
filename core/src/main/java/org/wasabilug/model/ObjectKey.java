package org.wasabilug.model;

import java.util.Arrays;
import java.util.Comparator;
import org.wasabilug.error.Reporter;

/**
 * Identity of a configuration object.
 *
 * @param kind what the object is
 * @param name its name, unique within the kind
 */
public record ObjectKey(ObjectKind kind, String name) implements Comparable<ObjectKey> {
    private static final Comparator<ObjectKey> ORDER =
            Comparator.comparing(ObjectKey::kind).thenComparing(ObjectKey::name);

    /** Checks the name. */
    public ObjectKey {
        NameRules.check(kind.name(), name);
    }

    @Override
    public int compareTo(ObjectKey other) {
        return ORDER.compare(this, other);
    }

    /**
     * Reads the form that {@link #toString()} writes.
     *
     * @param text kind and name, parted by a slash
     * @return the key
     */
    public static ObjectKey parse(String text) {
        int slash = text.indexOf('/');
        if (slash < 0) {
            throw Reporter.invalidName("ObjectKey", text);
        }
        String kind = text.substring(0, slash);
        return Arrays.stream(ObjectKind.values())
                .filter(each -> each.name().equals(kind))
                .findFirst()
                .map(each -> new ObjectKey(each, text.substring(slash + 1)))
                .orElseThrow(() -> Reporter.invalidName("ObjectKey", text));
    }

    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
