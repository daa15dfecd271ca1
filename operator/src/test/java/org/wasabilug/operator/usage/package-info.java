/** Tests of {@code wasabilug-operator} against a fake instance. */
package org.wasabilug.operator.usage;
