/** Integration tests of the stand-ins with the HTTP clients of endpoints and the platform. */
package org.wasabilug.standin;
