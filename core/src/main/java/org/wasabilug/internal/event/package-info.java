/** Input events of an entry instance and the actions that it requests. */
package org.wasabilug.internal.event;
