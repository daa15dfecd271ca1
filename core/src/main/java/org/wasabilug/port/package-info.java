/** Requests to, and answers from, the platform's services and peers. */
package org.wasabilug.port;
