/** Random schedules of faults, repeated from their seeds. */
package org.wasabilug.scenarios.internal.chaos;
