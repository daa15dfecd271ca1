/** Simulation in virtual time that compares policies on the same seeded arrivals. */
package org.wasabilug.comparison;
