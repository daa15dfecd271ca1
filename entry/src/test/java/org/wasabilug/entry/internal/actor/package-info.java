/** Tests of the instance actor. */
package org.wasabilug.entry.internal.actor;
