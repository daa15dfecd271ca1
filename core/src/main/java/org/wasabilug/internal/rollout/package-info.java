/** Decisions about the move of a service's traffic to another software version. */
package org.wasabilug.internal.rollout;
