/** What both HTTP interfaces share: problems, JSON and listeners. */
package org.wasabilug.entry.internal.http;
