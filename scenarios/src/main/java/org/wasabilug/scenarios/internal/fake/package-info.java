/** Small fakes of the platform, the endpoints and the network between instances. */
package org.wasabilug.scenarios.internal.fake;
