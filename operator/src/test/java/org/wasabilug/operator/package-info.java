/** Tests of the operators' command. */
package org.wasabilug.operator;
