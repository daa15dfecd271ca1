package org.wasabilug.scenarios.internal.mutant;

import java.util.List;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;

/** A defect injected into a decision core; the default methods change nothing. */
interface Mutant {
    default InstanceEvent alterEvent(InstanceEvent event) {
        return event;
    }

    default List<InstanceAction> alterAction(InstanceAction action) {
        return List.of(action);
    }

    default List<InstanceAction> actionsAfter(InstanceEvent event) {
        return List.of();
    }

    default Configuration alterConfiguration(Configuration configuration) {
        return configuration;
    }
}
