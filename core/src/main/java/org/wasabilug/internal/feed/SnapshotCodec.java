package org.wasabilug.internal.feed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.ticket.TicketCodec;
import org.wasabilug.port.VersionedObject;

/**
 * Text format of snapshots: a line with the sequence number and the object count, then one line of
 * JSON for each object, so that a reader holds at most one object's JSON tree in memory.
 */
final class SnapshotCodec {
    private static final String SEQUENCE = "sequence";
    private static final String COUNT = "count";

    private SnapshotCodec() {}

    static String write(Configuration configuration, long sequence) {
        StringBuilder text = new StringBuilder();
        text.append(
                JsonNodeFactory.instance
                        .objectNode()
                        .put(SEQUENCE, sequence)
                        .put(COUNT, configuration.objects().size()));
        for (VersionedObject object : configuration.objects()) {
            text.append('\n').append(TicketCodec.writeVersioned(object));
        }
        return text.toString();
    }

    /** Reads a snapshot; returns empty if a line is damaged or missing. */
    static Optional<Snapshot> read(String text) {
        Iterator<String> lines = text.lines().iterator();
        if (!lines.hasNext()) {
            return Optional.empty();
        }
        Optional<JsonNode> head = TicketCodec.readTree(lines.next());
        if (head.isEmpty() || !head.get().path(SEQUENCE).canConvertToLong()) {
            return Optional.empty();
        }
        List<VersionedObject> objects = new ArrayList<>();
        while (lines.hasNext()) {
            Optional<VersionedObject> object = TicketCodec.readVersioned(lines.next());
            if (object.isEmpty()) {
                return Optional.empty();
            }
            objects.add(object.get());
        }
        return head.get().path(COUNT).asInt(-1) == objects.size()
                ? Optional.of(new Snapshot(head.get().path(SEQUENCE).asLong(), objects))
                : Optional.empty();
    }

    /**
     * The configuration as of one position in the feed.
     *
     * @param sequence sequence number of the last feed entry that is included
     * @param objects all objects, including removed ones
     */
    record Snapshot(long sequence, List<VersionedObject> objects) {}
}
