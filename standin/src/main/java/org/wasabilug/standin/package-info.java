/** Stand-ins for the platform and for endpoints, with faults that are switched while running. */
package org.wasabilug.standin;
