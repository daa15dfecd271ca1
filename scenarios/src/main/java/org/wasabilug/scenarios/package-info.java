/** Scenarios in virtual time: small fakes at the interfaces of the decision core. */
package org.wasabilug.scenarios;
