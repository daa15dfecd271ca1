/** Orders that bring model engines to their desired state. */
package org.wasabilug.internal.order;
