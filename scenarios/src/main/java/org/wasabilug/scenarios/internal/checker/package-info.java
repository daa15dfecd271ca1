/** Invariant checkers. They read only a history and share no code with the decision cores. */
package org.wasabilug.scenarios.internal.checker;
