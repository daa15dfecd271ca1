/** Log of a run as observed from outside the decision cores. */
package org.wasabilug.scenarios.internal.history;
