/** Tests of {@code wasabilug-operator}. */
package org.wasabilug.operator;
