/** Tests of the product's targets under seeded load in virtual time. */
package org.wasabilug.bench.internal.virtual;
