/** The scenario language: steps in Gherkin that drive a fleet in virtual time. */
package org.wasabilug.scenarios.internal.language;
