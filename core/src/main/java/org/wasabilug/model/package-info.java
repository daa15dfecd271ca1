/** Immutable data that callers, operators and the system exchange. */
package org.wasabilug.model;
