/** Seeded open-loop load on fleets of decision cores in virtual time. */
package org.wasabilug.bench.internal.virtual;
