package org.wasabilug.operator.internal.output;

import java.net.URI;
import java.nio.file.Path;

/** Error messages of {@code wasabilug-operator}. */
public final class OperatorReporter {
    private OperatorReporter() {}

    /**
     * Message for an unreachable fleet.
     *
     * @param instance the last instance that was tried
     * @return the message
     */
    public static String unreachable(URI instance) {
        return "No instance could be reached; the last one tried was "
                + instance
                + ". Check --instances and that the instances are running.";
    }

    /**
     * Message for a lost response to a ticket.
     *
     * @param instance the instance that the ticket was sent to
     * @return the message
     */
    public static String responseLost(URI instance) {
        return "The response from "
                + instance
                + " was lost, so the ticket may have been accepted. Resubmit the same ticket;"
                + " it takes effect only once.";
    }

    /**
     * Message for a file that cannot be read.
     *
     * @param file path of the file
     * @return the message
     */
    public static String unreadableFile(Path file) {
        return "The file " + file + " cannot be read. Check its path and permissions.";
    }

    /**
     * Message for an object that does not exist or has been removed.
     *
     * @param kind kind of the object, as in tickets
     * @param name name of the object
     * @return the message
     */
    public static String noSuchObject(String kind, String name) {
        return "The active configuration has no "
                + kind
                + " '"
                + name
                + "'. List its objects with the command show.";
    }

    /**
     * Message for a key that no credential can hold.
     *
     * @return the message
     */
    public static String invalidKey() {
        return "The key is empty or contains a dot or white space. Use letters, digits and"
                + " hyphens.";
    }
}
