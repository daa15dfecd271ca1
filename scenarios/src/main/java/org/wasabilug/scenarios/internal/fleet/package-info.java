/** Decision cores connected to fakes and driven in virtual time. */
package org.wasabilug.scenarios.internal.fleet;
