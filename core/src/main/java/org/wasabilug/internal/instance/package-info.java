/** The decision core of an entry instance, which combines its components. */
package org.wasabilug.internal.instance;
