/** Active configuration of an instance, as an immutable view. */
package org.wasabilug.internal.configuration;
