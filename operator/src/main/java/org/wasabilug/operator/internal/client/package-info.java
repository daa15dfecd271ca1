/** Talks to the operators' interface of instances. */
package org.wasabilug.operator.internal.client;
