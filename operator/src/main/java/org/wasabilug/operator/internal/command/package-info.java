/** Implementation of the subcommands. */
package org.wasabilug.operator.internal.command;
