package org.wasabilug.gateway.internal.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Configuration of Log4j that is built in code: lines on standard output, written by a thread of
 * their own.
 *
 * <p>It collects no plugins and parses no file, which takes longer than all the rest of a start.
 */
public final class LineConfiguration extends AbstractConfiguration {
    private static final int BUFFERED_EVENTS = 8_192;
    private static final String CONSOLE = "console";
    private static final String ASYNCHRONOUS = "asynchronous";

    private final Level mLevel;

    /**
     * Creates a configuration that is not started yet.
     *
     * @param level lowest level that is written
     */
    public LineConfiguration(Level level) {
        super(new LoggerContext("gateway"), ConfigurationSource.NULL_SOURCE);
        mLevel = level;
        // The program stops the log itself, after the last line of its own stop.
        isShutdownHookEnabled = false;
    }

    @Override
    public void initialize() {
        ConsoleAppender console =
                ConsoleAppender.newBuilder()
                        .setName(CONSOLE)
                        .setLayout(new LineLayout())
                        .setConfiguration(this)
                        .build();
        addAppender(console);
        AsyncAppender asynchronous =
                AsyncAppender.newBuilder()
                        .setName(ASYNCHRONOUS)
                        .setAppenderRefs(
                                new AppenderRef[] {
                                    AppenderRef.createAppenderRef(CONSOLE, null, null)
                                })
                        .setBufferSize(BUFFERED_EVENTS)
                        .setBlocking(false)
                        .setIncludeLocation(false)
                        .setConfiguration(this)
                        .build();
        addAppender(asynchronous);
        getRootLogger().addAppender(asynchronous, null, null);
        getRootLogger().setLevel(mLevel);
        addLogger("io.netty", new LoggerConfig("io.netty", Level.WARN, true));
        setState(State.INITIALIZED);
    }
}
