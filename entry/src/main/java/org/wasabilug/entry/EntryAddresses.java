package org.wasabilug.entry;

import java.net.URI;

/**
 * Addresses on which an instance listens.
 *
 * @param callers base address of the callers' interface
 * @param operators base address of the operators' interface
 */
public record EntryAddresses(URI callers, URI operators) {}
