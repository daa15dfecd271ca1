/** Tests of the program's settings and commands. */
package org.wasabilug.bench.internal.program;
