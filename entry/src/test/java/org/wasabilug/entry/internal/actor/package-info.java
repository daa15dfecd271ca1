/** Tests of the instance's actor. */
package org.wasabilug.entry.internal.actor;
