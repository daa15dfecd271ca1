/** Limits on requests and calls. */
package org.wasabilug.internal.limit;
