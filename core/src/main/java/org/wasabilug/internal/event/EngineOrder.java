package org.wasabilug.internal.event;

import java.net.URI;
import org.wasabilug.model.EngineTarget;

/**
 * An order that sets the complete desired state of an engine.
 *
 * @param target the desired state
 * @param address base address of the engine
 * @param fencingNumber fencing number of the right under which the order is sent
 */
public record EngineOrder(EngineTarget target, URI address, long fencingNumber) {}
