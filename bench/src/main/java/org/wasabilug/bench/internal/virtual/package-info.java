/** Seeded open-loop load on whole fleets of decision cores in virtual time. */
package org.wasabilug.bench.internal.virtual;
