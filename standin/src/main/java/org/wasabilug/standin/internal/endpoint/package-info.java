/** Life, load and answers of one endpoint in memory. */
package org.wasabilug.standin.internal.endpoint;
