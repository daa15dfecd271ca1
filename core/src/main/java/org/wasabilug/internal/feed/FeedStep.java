package org.wasabilug.internal.feed;

import java.util.List;
import org.wasabilug.internal.event.InstanceAction;

/**
 * Result of handling one event at the feed.
 *
 * @param actions actions to perform, in order
 * @param configurationChanged true if the active configuration changed
 */
public record FeedStep(List<InstanceAction> actions, boolean configurationChanged) {
    /** Copies the list. */
    public FeedStep {
        actions = List.copyOf(actions);
    }
}
