/** Table service, object store and instance list in memory. */
package org.wasabilug.standin.internal.platform;
