package org.wasabilug.tableservice.internal.http;

/** Result of one HTTP exchange. */
public sealed interface ExchangeResult {
    /**
     * A complete answer arrived.
     *
     * @param status HTTP status code
     * @param body text of the body
     */
    record Answered(int status, String body) implements ExchangeResult {}

    /**
     * The request definitely did not reach the service.
     *
     * @param reason text for the log
     */
    record NotSent(String reason) implements ExchangeResult {}

    /**
     * No complete answer arrived. The service may have executed the request.
     *
     * @param reason text for the log
     */
    record Unanswered(String reason) implements ExchangeResult {}
}
