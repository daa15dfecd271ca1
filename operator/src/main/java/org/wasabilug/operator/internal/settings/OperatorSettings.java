package org.wasabilug.operator.internal.settings;

import java.net.URI;
import java.util.List;
import org.wasabilug.model.OperatorName;

/**
 * Settings of one use of the command.
 *
 * @param instances base addresses of operators' interfaces, in the order to try
 * @param operator who gives the command
 * @param key the operator's key
 * @param json true where programs read the output
 */
public record OperatorSettings(
        List<URI> instances, OperatorName operator, String key, boolean json) {
    /** Copies the list. */
    public OperatorSettings {
        instances = List.copyOf(instances);
    }

    /** Leaves the key out. */
    @Override
    public String toString() {
        return operator + " at " + instances;
    }
}
