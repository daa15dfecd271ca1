/** Tests of the stand-ins together with the clients that talk to them. */
package org.wasabilug.standin;
