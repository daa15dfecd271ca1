/** Command-line parsing for {@code wasabilug-operator}. */
package org.wasabilug.operator.internal.settings;
