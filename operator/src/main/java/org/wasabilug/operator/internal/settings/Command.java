package org.wasabilug.operator.internal.settings;

import java.nio.file.Path;
import java.util.OptionalLong;

/** A subcommand with its arguments. */
public sealed interface Command {
    /**
     * Checks a ticket without submitting it.
     *
     * @param file path of the ticket
     */
    record Check(Path file) implements Command {}

    /**
     * Submits a ticket.
     *
     * @param file path of the ticket
     */
    record Submit(Path file) implements Command {}

    /** Shows the active configuration. */
    record Show() implements Command {}

    /** Shows the status of every instance and the age of its configuration. */
    record Status() implements Command {}

    /** Shows the endpoints and their state. */
    record Endpoints() implements Command {}

    /**
     * Takes a failure domain out of service.
     *
     * @param domain name of the failure domain
     * @param number ticket number; empty to use the next free one
     */
    record TakeOut(String domain, OptionalLong number) implements Command {}

    /**
     * Returns a failure domain to service.
     *
     * @param domain name of the failure domain
     * @param number ticket number; empty to use the next free one
     */
    record BringBack(String domain, OptionalLong number) implements Command {}

    /**
     * Marks an endpoint as leaving.
     *
     * @param endpoint name of the endpoint
     * @param number ticket number; empty to use the next free one
     */
    record Drain(String endpoint, OptionalLong number) implements Command {}

    /**
     * Shows the decisions about a request.
     *
     * @param request identifier of the request
     */
    record Explain(String request) implements Command {}

    /** Prints the salted hash of a key. */
    record HashKey() implements Command {}
}
