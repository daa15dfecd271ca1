/** In-memory fakes of the platform, the endpoints and the network between failure domains. */
package org.wasabilug.scenarios.internal.fake;
