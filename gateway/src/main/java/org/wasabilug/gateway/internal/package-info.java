/** What the parts of one gateway process share. */
package org.wasabilug.gateway.internal;
