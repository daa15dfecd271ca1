/** Random fault schedules, reproducible from their seeds. */
package org.wasabilug.scenarios.internal.chaos;
