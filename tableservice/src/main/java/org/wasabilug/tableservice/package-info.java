/** Client of the platform's services: table service, object store and instance list. */
package org.wasabilug.tableservice;
