package org.wasabilug.internal.ticket;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowKey;

/** Keys and values of the table rows that ticket acceptance writes and the feed reads. */
public final class TicketRows {
    /**
     * Table of accepted tickets in order of acceptance; the key is the sequence number, padded to
     * twelve digits.
     */
    public static final String FEED_TABLE = "feed";

    /** Table of the latest state of each object; the key is the object key. */
    public static final String OBJECT_TABLE = "objects";

    /** Row that holds the sequence number of the latest feed row. */
    public static final RowKey HEAD = new RowKey("feed-head", "head");

    private static final String TICKET_TABLE = "tickets";
    private static final String SEQUENCE = "sequence";
    private static final String DIGEST = "digest";

    private TicketRows() {}

    /** Returns the table and key of the feed row with the given sequence number. */
    public static RowKey feed(long sequence) {
        return new RowKey(FEED_TABLE, feedKey(sequence));
    }

    /**
     * Returns the key of a feed row: the sequence number padded to twelve digits, so that key order
     * is numeric order.
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

    /** Returns the JSON value of a row that holds a sequence number. */
    public static String sequenceValue(long sequence) {
        return newNode().put(SEQUENCE, sequence).toString();
    }

    /** Returns the sequence number that a row holds; 0 if it holds none. */
    public static long sequenceOf(Row row) {
        return TicketCodec.readTree(row.value())
                .map(node -> node.path(SEQUENCE).asLong())
                .orElse(0L);
    }

    /** Reads a feed row; returns empty if the row is not a valid feed row. */
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
     * An accepted ticket in the feed.
     *
     * @param sequence position in the feed, from 1
     * @param ticket the ticket
     */
    public record FeedEntry(long sequence, ChangeTicket ticket) {}

    /**
     * Record that a ticket number has been accepted.
     *
     * @param digest digest of the ticket's content
     * @param sequence position of the ticket in the feed
     */
    record AcceptedTicket(String digest, long sequence) {}
}
