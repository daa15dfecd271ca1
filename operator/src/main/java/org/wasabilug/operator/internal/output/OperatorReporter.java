package org.wasabilug.operator.internal.output;

import java.net.URI;
import java.nio.file.Path;

/** Words the messages of the operators' command. */
public final class OperatorReporter {
    private OperatorReporter() {}

    /**
     * No instance can be reached.
     *
     * @param instance the last one that was tried
     * @return the message
     */
    public static String unreachable(URI instance) {
        return "No instance could be reached; the last one tried was "
                + instance
                + ". Check --instances and whether the instances run.";
    }

    /**
     * A ticket's answer was lost.
     *
     * @param instance the instance that it was sent to
     * @return the message
     */
    public static String answerLost(URI instance) {
        return "The answer of "
                + instance
                + " was lost, so the ticket may have been accepted. Submit the same ticket again:"
                + " it takes effect once.";
    }

    /**
     * A file can't be read.
     *
     * @param file the file
     * @return the message
     */
    public static String unreadable(Path file) {
        return "The file " + file + " can't be read. Check its path and its permissions.";
    }

    /**
     * There is no such object.
     *
     * @param kind its kind
     * @param name its name
     * @return the message
     */
    public static String noSuchObject(String kind, String name) {
        return "There is no "
                + kind
                + " '"
                + name
                + "' in force. Look at its name with the command show.";
    }

    /**
     * A key can't be hashed.
     *
     * @return the message
     */
    public static String unusableKey() {
        return "The key is empty or holds a dot or white space. Use letters, digits and hyphens.";
    }
}
