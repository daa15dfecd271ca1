/** Tests of the settings. */
package org.wasabilug.standin.internal.settings;
