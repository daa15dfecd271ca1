/** Tests of the settings. */
package org.wasabilug.entry.internal.settings;
