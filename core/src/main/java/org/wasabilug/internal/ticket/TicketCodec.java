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
 * Turns tickets and configuration objects into JSON and back.
 *
 * <p>Kinds and other constants are written in lower case with hyphens, such as {@code
 * failure-domain}; durations in milliseconds. A state does not repeat the name of its object. Every
 * field of a state must be there, since a ticket carries whole states.
 */
public final class TicketCodec {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private TicketCodec() {}

    /**
     * Reads a ticket file.
     *
     * @param text the file's content
     * @return the ticket, or every finding with its place
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
        Map<ObjectKey, String> seen = new HashMap<>();
        List<ObjectChange> changes =
                fields.list(
                        "changes",
                        (node, place) ->
                                readChange(fields.element(node, place), place, findings, seen));
        fields.reportUnknownFields();
        return findings.isEmpty()
                ? Optional.of(new ChangeTicket(number.get(), operator.get(), changes))
                : Optional.empty();
    }

    private static Optional<ObjectChange> readChange(
            FieldReader fields, String place, List<Finding> findings, Map<ObjectKey, String> seen) {
        Optional<ObjectKey> key = readKey(fields);
        key.ifPresent(present -> reportRepeated(present, place, findings, seen));
        Optional<ConfigurationObject> state = Optional.empty();
        if (fields.has("removed")) {
            fields.bool("removed")
                    .filter(removed -> !removed)
                    .ifPresent(no -> fields.report(fields.placeOf("removed"), "must be true"));
            if (fields.has("state")) {
                fields.node("state");
                fields.report(fields.placeOf("state"), "must not stand beside removed");
            }
        } else {
            state = readState(fields, key, findings);
        }
        fields.reportUnknownFields();
        Optional<ConfigurationObject> whole = state;
        return key.map(present -> new ObjectChange(present, whole));
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
            ObjectKey key, String place, List<Finding> findings, Map<ObjectKey, String> seen) {
        String first = seen.putIfAbsent(key, place);
        if (first != null) {
            findings.add(new Finding(place, "touches the same object as " + first));
        }
    }

    /**
     * Writes a ticket file.
     *
     * @param ticket the ticket
     * @return its JSON, on one line
     */
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
     * Digest of a ticket's content; the order of its changes does not matter.
     *
     * @param ticket the ticket
     * @return SHA-256 in lower-case hexadecimal
     */
    public static String digest(ChangeTicket ticket) {
        List<ObjectChange> sorted = new ArrayList<>(ticket.changes());
        sorted.sort(Comparator.comparing(ObjectChange::key));
        ChangeTicket canonical = new ChangeTicket(ticket.number(), ticket.operator(), sorted);
        return Hashing.sha256().hashString(write(canonical), StandardCharsets.UTF_8).toString();
    }

    /**
     * Writes the state of an object.
     *
     * @param state the state
     * @return its JSON, on one line
     */
    public static String writeState(ConfigurationObject state) {
        return StateWriter.write(state).toString();
    }

    /**
     * Reads the state of an object that {@link #writeState} has written.
     *
     * @param key identity of the object
     * @param text its JSON
     * @return the state; empty where the text is no valid state of this kind
     */
    public static Optional<ConfigurationObject> readState(ObjectKey key, String text) {
        return readTree(text)
                .flatMap(node -> StateReader.read(key, node, "state", new ArrayList<>()));
    }

    /**
     * Writes an object with its ticket, as table rows and snapshots hold it.
     *
     * @param object the object
     * @return its JSON, on one line
     */
    public static String writeVersioned(VersionedObject object) {
        ObjectNode node = MAPPER.createObjectNode();
        writeObject(object.key(), object.state(), node);
        return node.put("ticketNumber", object.ticketNumber()).toString();
    }

    /**
     * Reads an object that {@link #writeVersioned} has written.
     *
     * @param text its JSON
     * @return the object; empty where the text is none
     */
    public static Optional<VersionedObject> readVersioned(String text) {
        return readTree(text).flatMap(TicketCodec::readVersioned);
    }

    /**
     * Reads an object with its ticket from a JSON tree.
     *
     * @param node the tree
     * @return the object; empty where the tree is none
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

    /**
     * Reads JSON of any form.
     *
     * @param text the JSON
     * @return its tree; empty where the text is no valid JSON
     */
    public static Optional<JsonNode> readTree(String text) {
        try {
            return Optional.of(MAPPER.readTree(text));
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }

    /**
     * The objects that a ticket leaves behind.
     *
     * @param ticket an accepted ticket
     * @return each touched object with the ticket's number
     */
    public static List<VersionedObject> objectsOf(ChangeTicket ticket) {
        return ticket.changes().stream()
                .map(change -> new VersionedObject(change.key(), ticket.number(), change.state()))
                .toList();
    }

    /**
     * Reads a ticket that the system itself has stored.
     *
     * @param text its JSON
     * @return the ticket
     */
    public static ChangeTicket readStored(String text) {
        return switch (parse(text)) {
            case TicketParse.Parsed parsed -> parsed.ticket();
            case TicketParse.Rejected rejected ->
                    throw Reporter.defect("a stored ticket has findings " + rejected.findings());
        };
    }
}
