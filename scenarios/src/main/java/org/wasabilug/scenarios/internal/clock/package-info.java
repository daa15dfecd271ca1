/** Virtual time. */
package org.wasabilug.scenarios.internal.clock;
