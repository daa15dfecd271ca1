/** Row values of the platform's table service. */
package org.wasabilug.internal.table;
