/** Checkers of the invariants; they read a history and share nothing with the decisions. */
package org.wasabilug.scenarios.internal.checker;
