package org.wasabilug.gateway.internal.log;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs and counts decisions.
 *
 * <p>Log lines about requests are limited per second, so that a flood of requests can't cause a
 * flood of lines; the number of dropped lines is logged when the second is over. Lines about the
 * process itself are always written.
 */
public final class DecisionLog {
    private static final int REQUEST_LINES_PER_SECOND = 200;
    private static final long SECOND_MILLIS = 1_000;

    private final Logger mLogger = LogManager.getLogger("org.wasabilug.decisions");
    private final MetricRegistry mMetrics;
    private final LongSupplier mClockMillis;
    private long mSecond;
    private int mLines;
    private int mDropped;

    /**
     * Creates a log.
     *
     * @param metrics registry for event counters
     * @param clockMillis monotonic clock in milliseconds
     */
    public DecisionLog(MetricRegistry metrics, LongSupplier clockMillis) {
        mMetrics = metrics;
        mClockMillis = clockMillis;
    }

    /**
     * Writes a line about a request, unless the limit of the current second is reached.
     *
     * @param line the line
     * @return false if the line was dropped
     */
    public boolean request(LogLine line) {
        mMetrics.counter("decisions." + line.event()).inc();
        long second = mClockMillis.getAsLong() / SECOND_MILLIS;
        if (second != mSecond) {
            startSecond(second);
        }
        if (mLines >= REQUEST_LINES_PER_SECOND) {
            mDropped++;
            return false;
        }
        mLines++;
        mLogger.info(line.text());
        return true;
    }

    /**
     * Counts an event that is too frequent to be logged.
     *
     * @param event name of the event
     */
    public void count(String event) {
        mMetrics.counter("count." + event).inc();
    }

    /**
     * Sets what there is of something at present.
     *
     * @param name what it is
     * @param value how many there are
     */
    public void level(String name, long value) {
        Counter counter = mMetrics.counter("count." + name);
        counter.inc(value - counter.getCount());
    }

    /**
     * Records the duration of a step of a request.
     *
     * @param step name of the step
     * @param millis duration in milliseconds
     */
    public void latency(String step, long millis) {
        mMetrics.timer("latency." + step).update(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Writes a line about the process.
     *
     * @param line the line
     */
    public void process(LogLine line) {
        mMetrics.counter("decisions." + line.event()).inc();
        mLogger.info(line.text());
    }

    /**
     * Writes a line about an unexpected error.
     *
     * @param line the line
     * @param cause the error
     */
    public void fault(LogLine line, Throwable cause) {
        mMetrics.counter("decisions." + line.event()).inc();
        mLogger.error(line.text(), cause);
    }

    private void startSecond(long second) {
        int dropped = mDropped;
        mSecond = second;
        mLines = 0;
        mDropped = 0;
        if (dropped > 0) {
            mLogger.info(LogLine.of("lines-left-out").with("count", dropped).text());
        }
    }
}
