/** History of a run, as the outside world sees it. */
package org.wasabilug.scenarios.internal.history;
