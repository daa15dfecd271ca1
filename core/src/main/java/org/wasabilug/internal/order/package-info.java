/** Reconciliation of model engines with their desired state, through fenced orders. */
package org.wasabilug.internal.order;
