/** Use of the operators' command. */
package org.wasabilug.operator.usage;
