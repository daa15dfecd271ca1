/** Session lease of an instance, and observation of the leases of others. */
package org.wasabilug.internal.lease;
