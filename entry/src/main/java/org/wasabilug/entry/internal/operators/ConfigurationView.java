package org.wasabilug.entry.internal.operators;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.Locale;
import org.wasabilug.entry.ObjectStateWriter;
import org.wasabilug.entry.internal.http.Json;
import org.wasabilug.error.Reporter;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.port.VersionedObject;

/** JSON view of the active configuration. */
final class ConfigurationView {
    private final ObjectStateWriter mWriter;

    ConfigurationView(ObjectStateWriter writer) {
        mWriter = writer;
    }

    ObjectNode of(Configuration configuration) {
        ObjectNode body = Json.object();
        ArrayNode objects = body.putArray("objects");
        configuration.objects().stream()
                .sorted(Comparator.comparing(VersionedObject::key))
                .forEach(object -> objects.add(of(object)));
        return body;
    }

    private ObjectNode of(VersionedObject object) {
        ObjectNode node =
                Json.object()
                        .put(
                                "kind",
                                object.key()
                                        .kind()
                                        .name()
                                        .toLowerCase(Locale.ROOT)
                                        .replace('_', '-'))
                        .put("name", object.key().name())
                        .put("ticket", object.ticketNumber());
        node.set("state", object.state().map(this::state).orElse(NullNode.getInstance()));
        return node;
    }

    private JsonNode state(ConfigurationObject state) {
        return Json.read(mWriter.write(state))
                .orElseThrow(() -> Reporter.defect("state of an object is not valid JSON"));
    }
}
