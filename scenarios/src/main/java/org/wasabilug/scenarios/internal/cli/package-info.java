/** Command that runs one scenario file or one run of random faults. */
package org.wasabilug.scenarios.internal.cli;
