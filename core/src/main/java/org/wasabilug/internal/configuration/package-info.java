/** Configuration in force at an instance, as an immutable view. */
package org.wasabilug.internal.configuration;
