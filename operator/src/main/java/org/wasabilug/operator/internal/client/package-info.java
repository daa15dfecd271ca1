/** HTTP client for the operators' interface of instances. */
package org.wasabilug.operator.internal.client;
