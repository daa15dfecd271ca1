/** Simulation of one endpoint: lifecycle, load reports, prefix cache, engine state and answers. */
package org.wasabilug.standin.internal.endpoint;
