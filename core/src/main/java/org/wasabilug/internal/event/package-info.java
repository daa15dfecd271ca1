/** Events that reach an entry instance and actions that it asks for. */
package org.wasabilug.internal.event;
