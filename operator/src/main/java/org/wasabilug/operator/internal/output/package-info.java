/** Tables and words for operators. */
package org.wasabilug.operator.internal.output;
