package org.wasabilug.internal.ticket;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.error.Reporter;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Finding;
import org.wasabilug.model.ObjectChange;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.ObjectKind;
import org.wasabilug.model.OperatorName;
import org.wasabilug.port.VersionedObject;

/**
 * Converts tickets and configuration objects to and from JSON.
 *
 * <p>Kinds and other enum constants are written in lower case with hyphens, such as {@code
 * failure-domain}; durations are in milliseconds. A state does not repeat the name of its object.
 * Every field of a state is required, because a ticket carries complete states.
 */
public final class TicketCodec {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private TicketCodec() {}

    /**
     * Parses a ticket file.
     *
     * @param text the file's content
     * @return the ticket, or all findings with their places
     */
    public static TicketParse parse(String text) {
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException malformed) {
            String problem = "is not valid JSON: " + malformed.getOriginalMessage();
            return new TicketParse.Rejected(List.of(new Finding(placeOf(malformed), problem)));
        }
        List<Finding> findings = new ArrayList<>();
        Optional<ChangeTicket> ticket = readTicket(root, findings);
        return findings.isEmpty() && ticket.isPresent()
                ? new TicketParse.Parsed(ticket.get())
                : new TicketParse.Rejected(findings);
    }

    private static String placeOf(JsonProcessingException malformed) {
        return malformed.getLocation() == null
                ? "ticket"
                : "line "
                        + malformed.getLocation().getLineNr()
                        + ", column "
                        + malformed.getLocation().getColumnNr();
    }

    private static Optional<ChangeTicket> readTicket(JsonNode root, List<Finding> findings) {
        FieldReader fields = new FieldReader(root, "", findings);
        Optional<Long> number = fields.longInteger("number");
        Optional<OperatorName> operator = fields.name("operator", OperatorName::new);
        Map<ObjectKey, String> placesByKey = new HashMap<>();
        List<ObjectChange> changes =
                fields.list(
                        "changes",
                        (node, place) ->
                                readChange(
                                        fields.element(node, place), place, findings, placesByKey));
        fields.reportUnknownFields();
        return findings.isEmpty()
                ? Optional.of(new ChangeTicket(number.get(), operator.get(), changes))
                : Optional.empty();
    }

    private static Optional<ObjectChange> readChange(
            FieldReader fields,
            String place,
            List<Finding> findings,
            Map<ObjectKey, String> placesByKey) {
        Optional<ObjectKey> key = readKey(fields);
        key.ifPresent(present -> reportRepeated(present, place, findings, placesByKey));
        Optional<ConfigurationObject> state = Optional.empty();
        if (fields.has("removed")) {
            fields.bool("removed")
                    .filter(removed -> !removed)
                    .ifPresent(no -> fields.report(fields.placeOf("removed"), "must be true"));
            if (fields.has("state")) {
                fields.node("state");
                fields.report(fields.placeOf("state"), "must not be given together with removed");
            }
        } else {
            state = readState(fields, key, findings);
        }
        fields.reportUnknownFields();
        Optional<ConfigurationObject> newState = state;
        return key.map(present -> new ObjectChange(present, newState));
    }

    private static Optional<ConfigurationObject> readState(
            FieldReader fields, Optional<ObjectKey> key, List<Finding> findings) {
        JsonNode node = fields.node("state");
        String place = fields.placeOf("state");
        if (node.isMissingNode()) {
            fields.report(place, "is missing; a change has either a state or removed");
            return Optional.empty();
        }
        return key.flatMap(present -> StateReader.read(present, node, place, findings));
    }

    private static Optional<ObjectKey> readKey(FieldReader fields) {
        Optional<ObjectKind> kind = fields.constant("kind", ObjectKind.class);
        Optional<String> name = fields.name("name", text -> text);
        return kind.flatMap(present -> name.map(text -> new ObjectKey(present, text)));
    }

    private static void reportRepeated(
            ObjectKey key,
            String place,
            List<Finding> findings,
            Map<ObjectKey, String> placesByKey) {
        String first = placesByKey.putIfAbsent(key, place);
        if (first != null) {
            findings.add(new Finding(place, "changes the same object as " + first));
        }
    }

    /** Writes a ticket as JSON, on a single line. */
    public static String write(ChangeTicket ticket) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("number", ticket.number());
        node.put("operator", ticket.operator().value());
        ArrayNode changes = node.putArray("changes");
        ticket.changes()
                .forEach(change -> writeObject(change.key(), change.state(), changes.addObject()));
        return node.toString();
    }

    private static void writeObject(
            ObjectKey key, Optional<ConfigurationObject> state, ObjectNode node) {
        node.put("kind", FieldReader.textOf(key.kind()));
        node.put("name", key.name());
        state.ifPresentOrElse(
                present -> node.set("state", StateWriter.write(present)),
                () -> node.put("removed", true));
    }

    /**
     * Returns the SHA-256 of a ticket's content in lower-case hexadecimal; it does not depend on
     * the order of the changes.
     */
    public static String digest(ChangeTicket ticket) {
        List<ObjectChange> sorted = new ArrayList<>(ticket.changes());
        sorted.sort(Comparator.comparing(ObjectChange::key));
        ChangeTicket canonical = new ChangeTicket(ticket.number(), ticket.operator(), sorted);
        return Hashing.sha256().hashString(write(canonical), StandardCharsets.UTF_8).toString();
    }

    /** Writes the state of an object as JSON, on a single line. */
    public static String writeState(ConfigurationObject state) {
        return StateWriter.write(state).toString();
    }

    /**
     * Reads a state written by {@link #writeState}.
     *
     * @param key identity of the object
     * @param text the JSON
     * @return the state; empty if the text is not a valid state of this kind
     */
    public static Optional<ConfigurationObject> readState(ObjectKey key, String text) {
        return readTree(text)
                .flatMap(node -> StateReader.read(key, node, "state", new ArrayList<>()));
    }

    /**
     * Writes an object with its ticket number as JSON, on a single line, in the format of table
     * rows and snapshots.
     */
    public static String writeVersioned(VersionedObject object) {
        ObjectNode node = MAPPER.createObjectNode();
        writeObject(object.key(), object.state(), node);
        return node.put("ticketNumber", object.ticketNumber()).toString();
    }

    /**
     * Reads an object written by {@link #writeVersioned}.
     *
     * @param text the JSON
     * @return the object; empty if the text is not a valid object
     */
    public static Optional<VersionedObject> readVersioned(String text) {
        return readTree(text).flatMap(TicketCodec::readVersioned);
    }

    /**
     * Reads an object with its ticket number from a JSON tree.
     *
     * @param node the tree
     * @return the object; empty if the tree is not a valid object
     */
    public static Optional<VersionedObject> readVersioned(JsonNode node) {
        List<Finding> findings = new ArrayList<>();
        FieldReader fields = new FieldReader(node, "object", findings);
        Optional<Long> number = fields.longInteger("ticketNumber");
        Optional<ObjectChange> change = readChange(fields, "object", findings, new HashMap<>());
        return findings.isEmpty()
                ? change.map(each -> new VersionedObject(each.key(), number.get(), each.state()))
                : Optional.empty();
    }

    /** Parses any JSON text; returns empty if it is not valid JSON. */
    public static Optional<JsonNode> readTree(String text) {
        try {
            return Optional.of(MAPPER.readTree(text));
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }

    /**
     * Returns the new state of each object that an accepted ticket changes, with the ticket's
     * number.
     */
    public static List<VersionedObject> objectsOf(ChangeTicket ticket) {
        return ticket.changes().stream()
                .map(change -> new VersionedObject(change.key(), ticket.number(), change.state()))
                .toList();
    }

    /** Reads a ticket that this system has stored; findings in it are an internal error. */
    public static ChangeTicket readStored(String text) {
        return switch (parse(text)) {
            case TicketParse.Parsed parsed -> parsed.ticket();
            case TicketParse.Rejected rejected ->
                    throw Reporter.defect("a stored ticket has findings " + rejected.findings());
        };
    }
}
