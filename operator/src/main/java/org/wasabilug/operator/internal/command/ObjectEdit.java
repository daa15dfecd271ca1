package org.wasabilug.operator.internal.command;

import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import com.fasterxml.jackson.databind.node.ValueNode;

/**
 * A change of one field of an object.
 *
 * @param kind kind of the object, as in tickets
 * @param name name of the object
 * @param field name of the field
 * @param value its new value
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
     * The change that a ticket carries.
     *
     * @param state whole state of the object before
     * @return kind, name and whole new state
     */
    ObjectNode changeFrom(ObjectNode state) {
        ObjectNode after = state.deepCopy();
        after.set(field, value);
        ObjectNode change = JsonNodeFactory.instance.objectNode();
        change.put("kind", kind).put("name", name).set("state", after);
        return change;
    }
}
