package org.wasabilug.gateway.internal.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.SimpleMessage;
import org.junit.jupiter.api.Test;

class LineLayoutTest {
    private final LineLayout mLayout = new LineLayout();

    private static LogEvent event(String message, Throwable thrown) {
        return Log4jLogEvent.newBuilder()
                .setLevel(Level.INFO)
                .setMessage(new SimpleMessage(message))
                .setThrown(thrown)
                .build();
    }

    @Test
    void aMessageIsOneLine() {
        assertThat(mLayout.toSerializable(event("{\"event\":\"started\"}", null)))
                .isEqualTo("{\"event\":\"started\"}" + System.lineSeparator());
    }

    @Test
    void theStackTraceOfAFaultFollowsItsLine() {
        String text = mLayout.toSerializable(event("fault", new IllegalStateException("cause")));

        assertThat(text).startsWith("fault" + System.lineSeparator());
        assertThat(text).contains("IllegalStateException: cause", "\tat ");
    }

    @Test
    void theConfigurationWritesFromTheGivenLevelOn() {
        LineConfiguration configuration = new LineConfiguration(Level.WARN);
        configuration.initialize();

        assertThat(configuration.getRootLogger().getLevel()).isEqualTo(Level.WARN);
        assertThat(configuration.getAppenders()).containsOnlyKeys("console", "asynchronous");
        assertThat(configuration.isShutdownHookEnabled()).isFalse();
    }
}
