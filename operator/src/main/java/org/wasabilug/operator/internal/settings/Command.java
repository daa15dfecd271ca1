package org.wasabilug.operator.internal.settings;

import java.nio.file.Path;
import java.util.OptionalLong;

/** A subcommand with its arguments. */
public sealed interface Command {
    /**
     * Checks a ticket without submitting it.
     *
     * @param file the ticket
     */
    record Check(Path file) implements Command {}

    /**
     * Submits a ticket.
     *
     * @param file the ticket
     */
    record Submit(Path file) implements Command {}

    /** Shows the configuration in force. */
    record Show() implements Command {}

    /** Shows what is in force where, and how old it is. */
    record Status() implements Command {}

    /** Shows the endpoints with their state. */
    record Endpoints() implements Command {}

    /**
     * Takes a failure domain out.
     *
     * @param domain its name
     * @param number number of the ticket; empty for the next one
     */
    record TakeOut(String domain, OptionalLong number) implements Command {}

    /**
     * Brings a failure domain back.
     *
     * @param domain its name
     * @param number number of the ticket; empty for the next one
     */
    record BringBack(String domain, OptionalLong number) implements Command {}

    /**
     * Marks an endpoint as leaving.
     *
     * @param endpoint its name
     * @param number number of the ticket; empty for the next one
     */
    record Drain(String endpoint, OptionalLong number) implements Command {}

    /**
     * Shows the decisions about a request.
     *
     * @param request identity of the request
     */
    record Explain(String request) implements Command {}

    /** Makes the salted hash of a key. */
    record HashKey() implements Command {}
}
