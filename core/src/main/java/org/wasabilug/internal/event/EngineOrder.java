package org.wasabilug.internal.event;

import java.net.URI;
import org.wasabilug.model.EngineTarget;

/**
 * An order that brings an engine to its whole desired state.
 *
 * @param target the desired state
 * @param address base address of the engine
 * @param fencingNumber number of the right under which the order is given
 */
public record EngineOrder(EngineTarget target, URI address, long fencingNumber) {}
