/** Change tickets: their JSON form, their rules and their acceptance by the table service. */
package org.wasabilug.internal.ticket;
