package org.wasabilug.tableservice.internal.http;

/** What came of one HTTP exchange. */
public sealed interface ExchangeResult {
    /**
     * A whole answer arrived.
     *
     * @param status HTTP status code
     * @param body text of the body
     */
    record Answered(int status, String body) implements ExchangeResult {}

    /**
     * The request certainly never reached the service.
     *
     * @param reason why
     */
    record NotSent(String reason) implements ExchangeResult {}

    /**
     * No whole answer arrived; the service may have carried the request out.
     *
     * @param reason why
     */
    record Unanswered(String reason) implements ExchangeResult {}
}
