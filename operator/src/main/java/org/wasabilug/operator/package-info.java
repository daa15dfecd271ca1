/** The operators' command: checks and submits tickets and shows what is in force. */
package org.wasabilug.operator;
