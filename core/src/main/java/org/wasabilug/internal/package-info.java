/** Decisions of the serving system; not part of the public front. */
package org.wasabilug.internal;
