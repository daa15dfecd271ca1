/** Command-line tool that runs scenarios, runs random faults or updates the coverage table. */
package org.wasabilug.scenarios.internal.cli;
