/** Follows the platform's feed of accepted tickets, from a snapshot on. */
package org.wasabilug.internal.feed;
