/** Change tickets: JSON format, validation, and acceptance through the table service. */
package org.wasabilug.internal.ticket;
