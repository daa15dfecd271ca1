/** JSON format of row values in the platform's table service. */
package org.wasabilug.internal.table;
