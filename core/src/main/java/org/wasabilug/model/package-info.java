/** Immutable data types that are exchanged between callers, operators and the system. */
package org.wasabilug.model;
