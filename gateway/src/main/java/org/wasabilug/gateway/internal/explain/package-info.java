/** Explains to operators where a request would go. */
package org.wasabilug.gateway.internal.explain;
