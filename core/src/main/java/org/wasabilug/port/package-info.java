/** Typed requests to and answers from the platform's services and the peers. */
package org.wasabilug.port;
