/** What the subcommands do. */
package org.wasabilug.operator.internal.command;
