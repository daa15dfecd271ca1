package org.wasabilug.operator.internal.command;

import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import com.fasterxml.jackson.databind.node.ValueNode;

/**
 * A change to one field of a configuration object.
 *
 * @param kind kind of the object, as in tickets
 * @param name name of the object
 * @param field name of the field
 * @param value new value of the field
 */
public record ObjectEdit(String kind, String name, String field, ValueNode value) {
    private static final String FAILURE_DOMAIN = "failure-domain";
    private static final String ENDPOINT = "endpoint";

    static ObjectEdit takeOut(String domain) {
        return new ObjectEdit(FAILURE_DOMAIN, domain, "state", TextNode.valueOf("taken-out"));
    }

    static ObjectEdit bringBack(String domain) {
        return new ObjectEdit(FAILURE_DOMAIN, domain, "state", TextNode.valueOf("in-service"));
    }

    static ObjectEdit drain(String endpoint) {
        return new ObjectEdit(ENDPOINT, endpoint, "leaving", BooleanNode.TRUE);
    }

    /**
     * Returns the change in the form that a ticket holds.
     *
     * @param state complete state of the object before the change
     * @return kind, name and complete new state
     */
    ObjectNode applyTo(ObjectNode state) {
        ObjectNode after = state.deepCopy();
        after.set(field, value);
        ObjectNode change = JsonNodeFactory.instance.objectNode();
        change.put("kind", kind).put("name", name).set("state", after);
        return change;
    }
}
