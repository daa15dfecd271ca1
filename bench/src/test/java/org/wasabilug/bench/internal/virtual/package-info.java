/** Tests of seeded load in virtual time, with the product's targets. */
package org.wasabilug.bench.internal.virtual;
