/** Decision cores joined to fakes, driven in virtual time. */
package org.wasabilug.scenarios.internal.fleet;
