package org.wasabilug.internal.feed;

import java.util.List;
import org.wasabilug.internal.event.InstanceAction;

/**
 * Result of one event at the feed.
 *
 * @param actions what to do, in order
 * @param configurationChanged true where the configuration in force changed
 */
public record FeedStep(List<InstanceAction> actions, boolean configurationChanged) {
    /** Copies the list. */
    public FeedStep {
        actions = List.copyOf(actions);
    }
}
