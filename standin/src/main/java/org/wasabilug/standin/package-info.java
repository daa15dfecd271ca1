/** Stand-ins for the platform and for endpoints, with faults that can be changed at run time. */
package org.wasabilug.standin;
