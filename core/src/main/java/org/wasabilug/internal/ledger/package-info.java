/** At-most-once ledger. */
package org.wasabilug.internal.ledger;
