/** Discrete-event clock that provides virtual time. */
package org.wasabilug.scenarios.internal.clock;
