/** Session lease of an instance, and observation of other instances' leases. */
package org.wasabilug.internal.lease;
