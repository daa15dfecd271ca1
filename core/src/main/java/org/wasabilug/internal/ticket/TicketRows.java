package org.wasabilug.internal.ticket;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowKey;

/** Places and forms of the rows that acceptance writes and the feed reads. */
public final class TicketRows {
    /** Table of accepted tickets in their order; its keys are sequences of twelve digits. */
    public static final String FEED_TABLE = "feed";

    /** Table of each object's newest state; its keys are object keys. */
    public static final String OBJECT_TABLE = "objects";

    /** Row that holds the sequence of the newest feed row. */
    public static final RowKey HEAD = new RowKey("feed-head", "head");

    private static final String TICKET_TABLE = "tickets";
    private static final String SEQUENCE = "sequence";
    private static final String DIGEST = "digest";

    private TicketRows() {}

    /**
     * Place of a feed row.
     *
     * @param sequence its sequence
     * @return the key
     */
    public static RowKey feed(long sequence) {
        return new RowKey(FEED_TABLE, feedKey(sequence));
    }

    /**
     * Key of a feed row within its table.
     *
     * @param sequence its sequence
     * @return twelve digits
     */
    public static String feedKey(long sequence) {
        return "%012d".formatted(sequence);
    }

    static RowKey ticket(long number) {
        return new RowKey(TICKET_TABLE, "%019d".formatted(number));
    }

    static RowKey object(ObjectKey key) {
        return new RowKey(OBJECT_TABLE, key.toString());
    }

    /**
     * Content of a row that holds a sequence.
     *
     * @param sequence the sequence
     * @return its JSON
     */
    public static String sequenceValue(long sequence) {
        return newNode().put(SEQUENCE, sequence).toString();
    }

    /**
     * Sequence that a row holds.
     *
     * @param row the row
     * @return the sequence; 0 where the row holds none
     */
    public static long sequenceOf(Row row) {
        return TicketCodec.readTree(row.value())
                .map(node -> node.path(SEQUENCE).asLong())
                .orElse(0L);
    }

    /**
     * Reads a feed row.
     *
     * @param row the row
     * @return the entry; empty where the row is none
     */
    public static Optional<FeedEntry> feedEntry(Row row) {
        try {
            long sequence = Long.parseLong(row.key().key());
            return switch (TicketCodec.parse(row.value())) {
                case TicketParse.Parsed parsed ->
                        Optional.of(new FeedEntry(sequence, parsed.ticket()));
                case TicketParse.Rejected rejected -> Optional.empty();
            };
        } catch (NumberFormatException noSequence) {
            return Optional.empty();
        }
    }

    static String acceptedValue(AcceptedTicket accepted) {
        return newNode()
                .put(DIGEST, accepted.digest())
                .put(SEQUENCE, accepted.sequence())
                .toString();
    }

    static AcceptedTicket acceptedTicket(Row row) {
        JsonNode node = TicketCodec.readTree(row.value()).orElseGet(TicketRows::newNode);
        return new AcceptedTicket(node.path(DIGEST).asText(), node.path(SEQUENCE).asLong());
    }

    private static ObjectNode newNode() {
        return JsonNodeFactory.instance.objectNode();
    }

    /**
     * One accepted ticket in the feed.
     *
     * @param sequence its place, from 1
     * @param ticket the ticket
     */
    public record FeedEntry(long sequence, ChangeTicket ticket) {}

    /**
     * Trace of an accepted ticket.
     *
     * @param digest digest of its content
     * @param sequence its place in the feed
     */
    record AcceptedTicket(String digest, long sequence) {}
}
