package org.wasabilug.gateway.internal.explain;

import java.util.List;

/** Builder of one JSON object. */
final class JsonText {
    private final StringBuilder mFields = new StringBuilder();

    JsonText with(String name, String value) {
        return field(name, quote(value));
    }

    JsonText with(String name, long value) {
        return field(name, Long.toString(value));
    }

    JsonText with(String name, boolean value) {
        return field(name, Boolean.toString(value));
    }

    JsonText with(String name, List<JsonText> values) {
        return field(name, values.toString());
    }

    private JsonText field(String name, String json) {
        mFields.append(mFields.isEmpty() ? "" : ",").append(quote(name)).append(':').append(json);
        return this;
    }

    private static String quote(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char each : text.toCharArray()) {
            if (each == '"' || each == '\\') {
                quoted.append('\\').append(each);
            } else if (each < ' ') {
                quoted.append(String.format("\\u%04x", (int) each));
            } else {
                quoted.append(each);
            }
        }
        return quoted.append('"').toString();
    }

    @Override
    public String toString() {
        return "{" + mFields + "}";
    }
}
