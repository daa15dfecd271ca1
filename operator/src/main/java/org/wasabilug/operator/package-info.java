/** Command-line client for operators: checks and submits tickets and shows active state. */
package org.wasabilug.operator;
