/** Immutable model of routed services, their endpoints and their callers. */
package org.wasabilug.serving;
