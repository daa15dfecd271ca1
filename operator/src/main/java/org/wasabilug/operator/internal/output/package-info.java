/** Tables and messages for operators. */
package org.wasabilug.operator.internal.output;
