/** Scenarios in virtual time: real decision cores with fakes behind their interfaces. */
package org.wasabilug.scenarios;
