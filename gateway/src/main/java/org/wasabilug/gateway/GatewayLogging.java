package org.wasabilug.gateway;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.wasabilug.gateway.internal.log.LineConfiguration;

/** Sets up the log of a process that runs a gateway. */
public final class GatewayLogging {
    private static final String CONFIGURATION_FILE = "log4j2.configurationFile";

    private GatewayLogging() {}

    /**
     * Writes one JSON object a line to standard output, unless the system property {@code
     * log4j2.configurationFile} names another configuration; to be called before anything is
     * logged.
     *
     * @param level lowest level that is written, as Log4j names it; an unknown name means INFO
     */
    public static void start(String level) {
        if (System.getProperty(CONFIGURATION_FILE) == null) {
            Configurator.initialize(
                    GatewayLogging.class.getClassLoader(),
                    new LineConfiguration(Level.toLevel(level, Level.INFO)));
        }
    }
}
