package org.wasabilug.model;

import java.util.Arrays;
import java.util.Comparator;
import org.wasabilug.error.Reporter;

/**
 * Identity of a configuration object.
 *
 * @param kind kind of the object
 * @param name name of the object, unique within its kind
 */
public record ObjectKey(ObjectKind kind, String name) implements Comparable<ObjectKey> {
    private static final Comparator<ObjectKey> ORDER =
            Comparator.comparing(ObjectKey::kind).thenComparing(ObjectKey::name);

    /** Validates the name. */
    public ObjectKey {
        NameRules.check(kind.name(), name);
    }

    @Override
    public int compareTo(ObjectKey other) {
        return ORDER.compare(this, other);
    }

    /** Parses the format that {@link #toString()} writes: kind and name, separated by a slash. */
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
