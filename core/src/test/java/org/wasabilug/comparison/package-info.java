/** Comparison of policies on the same seeded arrivals, in virtual time. */
package org.wasabilug.comparison;
