package org.wasabilug.gateway.internal.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;

/** Writes the message of an event as one line, and a stack trace below it if there is one. */
final class LineLayout extends AbstractStringLayout {
    LineLayout() {
        super(StandardCharsets.UTF_8);
    }

    @Override
    public String toSerializable(LogEvent event) {
        String line = event.getMessage().getFormattedMessage() + System.lineSeparator();
        return event.getThrown() == null ? line : line + stackTrace(event.getThrown());
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }
}
