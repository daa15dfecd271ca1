/** Reads the command line of the operators' command. */
package org.wasabilug.operator.internal.settings;
