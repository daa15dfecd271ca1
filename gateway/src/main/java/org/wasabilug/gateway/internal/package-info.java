/** State and services shared by the parts of one gateway process. */
package org.wasabilug.gateway.internal;
