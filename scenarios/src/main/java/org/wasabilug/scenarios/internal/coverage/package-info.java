/** Coverage table: the pairs of invariant and failure that scenarios cover. */
package org.wasabilug.scenarios.internal.coverage;
