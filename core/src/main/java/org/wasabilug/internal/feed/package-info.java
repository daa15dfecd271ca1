/** Follows the platform's feed of accepted tickets, starting from a snapshot. */
package org.wasabilug.internal.feed;
