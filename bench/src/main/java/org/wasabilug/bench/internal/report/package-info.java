/** Reports of experiments as Markdown, JSON and plots. */
package org.wasabilug.bench.internal.report;
