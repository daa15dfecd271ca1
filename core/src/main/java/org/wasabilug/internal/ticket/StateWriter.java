package org.wasabilug.internal.ticket;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.stream.Stream;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EngineTarget;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.OperatorAccount;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.Pool;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.model.Stage;
import org.wasabilug.model.Workspace;

/** Writes the complete state of one object as JSON; equal states produce equal text. */
final class StateWriter {
    private StateWriter() {}

    static ObjectNode write(ConfigurationObject state) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        switch (state) {
            case FailureDomain domain ->
                    node.put("region", domain.region())
                            .put("state", FieldReader.textOf(domain.state()));
            case Pool pool -> writePool(pool, node);
            case Endpoint endpoint -> writeEndpoint(endpoint, node);
            case Pipeline pipeline -> writePipeline(pipeline, node);
            case Workspace workspace -> writeWorkspace(workspace, node);
            case OperatorAccount account -> writeKey(account.key(), node);
            case EngineTarget target -> writeEngineTarget(target, node);
        }
        return node;
    }

    private static void writePool(Pool pool, ObjectNode node) {
        node.put("requestPath", pool.requestPath());
        node.put("protocol", FieldReader.textOf(pool.protocol()));
        node.put("repeatable", pool.repeatable());
        node.put("exposed", pool.exposed());
    }

    private static void writeEndpoint(Endpoint endpoint, ObjectNode node) {
        node.put("pool", endpoint.pool().value());
        node.put("failureDomain", endpoint.failureDomain().value());
        node.put("address", endpoint.address().toString());
        node.put("coldLimit", endpoint.coldLimit());
        node.put("concurrencyLimit", endpoint.concurrencyLimit());
        node.put("fencing", FieldReader.textOf(endpoint.fencing()));
        node.put("leaving", endpoint.leaving());
    }

    private static void writePipeline(Pipeline pipeline, ObjectNode node) {
        ArrayNode stages = node.putArray("stages");
        pipeline.stages().forEach(stage -> writeStage(stage, stages.addObject()));
        node.put("deadlineMilliseconds", pipeline.deadline().toMillis());
    }

    private static void writeStage(Stage stage, ObjectNode node) {
        node.put("name", stage.name().value());
        node.put("pool", stage.pool().value());
        node.put("repeatable", stage.repeatable());
        putTexts(node, "after", stage.after().stream().map(name -> name.value()));
    }

    private static void writeWorkspace(Workspace workspace, ObjectNode node) {
        writeKey(workspace.key(), node);
        putTexts(
                node,
                "pipelines",
                workspace.pipelines().stream().map(name -> name.value()).sorted());
        putTexts(
                node, "services", workspace.services().stream().map(name -> name.value()).sorted());
        node.put("requestsPerSecond", workspace.requestsPerSecond());
        node.put("concurrentRequests", workspace.concurrentRequests());
        node.put("shareWeight", workspace.shareWeight());
    }

    private static void writeKey(SaltedHash key, ObjectNode node) {
        node.putObject("key").put("salt", key.salt()).put("hash", key.hash());
    }

    private static void writeEngineTarget(EngineTarget target, ObjectNode node) {
        node.put("model", target.model());
        node.put("version", target.version());
        putTexts(node, "adapters", target.adapters().stream().sorted());
        node.put("role", target.role());
    }

    private static void putTexts(ObjectNode node, String field, Stream<String> values) {
        ArrayNode array = node.putArray(field);
        values.forEach(array::add);
    }
}
