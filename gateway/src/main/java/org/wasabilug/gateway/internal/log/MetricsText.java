package org.wasabilug.gateway.internal.log;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Formats metrics as text, one name and value per line. */
public final class MetricsText {
    private MetricsText() {}

    /**
     * Formats all counters and latencies.
     *
     * @param metrics the metrics
     * @return lines in order of the names; latencies in milliseconds
     */
    public static String of(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> entry : metrics.getCounters().entrySet()) {
            line(text, entry.getKey(), entry.getValue().getCount());
        }
        for (Map.Entry<String, Timer> entry : metrics.getTimers().entrySet()) {
            Snapshot snapshot = entry.getValue().getSnapshot();
            line(text, entry.getKey() + ".count", entry.getValue().getCount());
            line(text, entry.getKey() + ".p50", millis(snapshot.getMedian()));
            line(text, entry.getKey() + ".p95", millis(snapshot.get95thPercentile()));
            line(text, entry.getKey() + ".p99", millis(snapshot.get99thPercentile()));
            line(text, entry.getKey() + ".max", millis(snapshot.getMax()));
        }
        return text.toString();
    }

    private static double millis(double nanos) {
        return nanos / TimeUnit.MILLISECONDS.toNanos(1);
    }

    private static void line(StringBuilder text, String name, Object value) {
        text.append(name).append(' ').append(value).append('\n');
    }
}
