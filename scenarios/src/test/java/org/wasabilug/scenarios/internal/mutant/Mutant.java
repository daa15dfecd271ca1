package org.wasabilug.scenarios.internal.mutant;

import java.util.List;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;

/** A wrong decision that a mutant makes in place of the product's; by default it alters nothing. */
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
