/** The decision core of a whole entry instance. */
package org.wasabilug.internal.instance;
