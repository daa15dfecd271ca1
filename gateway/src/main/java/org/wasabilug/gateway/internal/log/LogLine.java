package org.wasabilug.gateway.internal.log;

/** Builder of one log line, a JSON object with the event kind as its first field. */
public final class LogLine {
    private final StringBuilder mText = new StringBuilder(160);
    private final String mEvent;

    private LogLine(String event) {
        mEvent = event;
        mText.append("{\"event\":\"").append(event).append('"');
    }

    /**
     * Starts a line.
     *
     * @param event kind of the event, a constant
     */
    public static LogLine of(String event) {
        return new LogLine(event);
    }

    /**
     * Adds a text field.
     *
     * @param name name of the field
     * @param value its value
     */
    public LogLine with(String name, String value) {
        mText.append(",\"").append(name).append("\":\"");
        for (int index = 0; index < value.length(); index++) {
            appendEscaped(value.charAt(index));
        }
        mText.append('"');
        return this;
    }

    /**
     * Adds a numeric field.
     *
     * @param name name of the field
     * @param value its value
     */
    public LogLine with(String name, long value) {
        mText.append(",\"").append(name).append("\":").append(value);
        return this;
    }

    /**
     * Adds a boolean field.
     *
     * @param name name of the field
     * @param value its value
     */
    public LogLine with(String name, boolean value) {
        mText.append(",\"").append(name).append("\":").append(value);
        return this;
    }

    String event() {
        return mEvent;
    }

    String text() {
        return mText + "}";
    }

    private void appendEscaped(char character) {
        if (character == '"' || character == '\\') {
            mText.append('\\').append(character);
        } else if (character < ' ') {
            mText.append(String.format("\\u%04x", (int) character));
        } else {
            mText.append(character);
        }
    }
}
