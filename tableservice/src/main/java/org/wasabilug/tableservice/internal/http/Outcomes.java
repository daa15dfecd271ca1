package org.wasabilug.tableservice.internal.http;

import java.util.Optional;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.ObjectOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.tableservice.wire.PlatformJson;

/** Converts the results of exchanges into the outcomes of the services. */
public final class Outcomes {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private Outcomes() {}

    /**
     * Converts the result of a commit. If the result does not show whether the transaction was
     * committed, the outcome is unknown.
     *
     * @param result result of the exchange
     * @return the outcome
     */
    public static CommitOutcome ofCommit(ExchangeResult result) {
        return switch (result) {
            case ExchangeResult.NotSent neverSent -> new CommitOutcome.NotSent();
            case ExchangeResult.Unanswered lost -> new CommitOutcome.Unknown();
            case ExchangeResult.Answered answered -> ofCommitAnswer(answered);
        };
    }

    /**
     * Converts the result of reading rows.
     *
     * @param result result of the exchange
     * @return the outcome
     */
    public static ReadOutcome ofRead(ExchangeResult result) {
        return body(result)
                .flatMap(body -> PlatformJson.read(body, ReadOutcome.Rows.class))
                .<ReadOutcome>map(rows -> rows)
                .orElseGet(ReadOutcome.Unavailable::new);
    }

    /**
     * Converts the result of reading an object.
     *
     * @param result result of the exchange
     * @return the outcome
     */
    public static ObjectOutcome ofObjectRead(ExchangeResult result) {
        if (result instanceof ExchangeResult.Answered answered && answered.status() == NOT_FOUND) {
            return new ObjectOutcome.Missing();
        }
        return body(result)
                .<ObjectOutcome>map(ObjectOutcome.Found::new)
                .orElseGet(ObjectOutcome.Unavailable::new);
    }

    /**
     * Converts the result of writing an object.
     *
     * @param result result of the exchange
     * @return the outcome
     */
    public static ObjectOutcome ofObjectWrite(ExchangeResult result) {
        return body(result)
                .<ObjectOutcome>map(body -> new ObjectOutcome.Written())
                .orElseGet(ObjectOutcome.Unavailable::new);
    }

    /**
     * Converts the result of listing the instances.
     *
     * @param result result of the exchange
     * @return the outcome
     */
    public static ListOutcome ofList(ExchangeResult result) {
        return body(result)
                .flatMap(body -> PlatformJson.read(body, ListOutcome.Listed.class))
                .<ListOutcome>map(listed -> listed)
                .orElseGet(ListOutcome.Unavailable::new);
    }

    private static CommitOutcome ofCommitAnswer(ExchangeResult.Answered answered) {
        return switch (answered.status()) {
            case OK, CONFLICT ->
                    PlatformJson.read(answered.body(), CommitOutcome.class)
                            .orElseGet(CommitOutcome.Unknown::new);
            case TOO_MANY_REQUESTS, UNAVAILABLE -> new CommitOutcome.NotSent();
            default -> new CommitOutcome.Unknown();
        };
    }

    private static Optional<String> body(ExchangeResult result) {
        return result instanceof ExchangeResult.Answered answered && answered.status() == OK
                ? Optional.of(answered.body())
                : Optional.empty();
    }
}
