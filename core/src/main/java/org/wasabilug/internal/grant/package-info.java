/** Cold-start grants. */
package org.wasabilug.internal.grant;
