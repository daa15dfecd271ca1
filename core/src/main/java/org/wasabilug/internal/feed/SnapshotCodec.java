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
 * Text form of snapshots: a line with the sequence and the count of objects, then a line for each
 * object, so that a reader never holds more than one object's tree.
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

    /** Reads a snapshot; empty where a line is damaged or missing. */
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
     * A configuration at one place of the feed.
     *
     * @param sequence last feed entry within
     * @param objects every object, removed ones included
     */
    record Snapshot(long sequence, List<VersionedObject> objects) {}
}
