/** Unchecked exceptions with error codes, and the factory that creates them. */
package org.wasabilug.error;
