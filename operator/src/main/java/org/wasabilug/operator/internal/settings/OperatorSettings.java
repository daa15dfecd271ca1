package org.wasabilug.operator.internal.settings;

import java.net.URI;
import java.util.List;
import org.wasabilug.model.OperatorName;

/**
 * Settings of one invocation.
 *
 * @param instances base addresses of operators' interfaces, in the order to try
 * @param operator name of the operator
 * @param key the operator's key
 * @param json true to print JSON
 */
public record OperatorSettings(
        List<URI> instances, OperatorName operator, String key, boolean json) {
    /** Copies the list. */
    public OperatorSettings {
        instances = List.copyOf(instances);
    }

    /** Omits the key, so that it cannot reach logs. */
    @Override
    public String toString() {
        return operator + " at " + instances;
    }
}
