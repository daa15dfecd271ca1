package org.wasabilug.gateway.internal.log;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes a line for each decision, and counts them all.
 *
 * <p>Lines about requests are bounded in each second, so a flood of requests can't make a flood of
 * lines; the number that was left out is written when the second is over. Lines about the process
 * itself are always written.
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
     * Makes a log.
     *
     * @param metrics where events are counted
     * @param clockMillis monotonic clock
     */
    public DecisionLog(MetricRegistry metrics, LongSupplier clockMillis) {
        mMetrics = metrics;
        mClockMillis = clockMillis;
    }

    /**
     * Writes a line about a request, unless this second has had enough of them.
     *
     * @param line the line
     * @return false where it was left out
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
     * Notes how long a step of a request took.
     *
     * @param step name of the step
     * @param millis its time
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
     * Writes a line about something that should not have happened.
     *
     * @param line the line
     * @param cause what was thrown
     */
    public void fault(LogLine line, Throwable cause) {
        mMetrics.counter("decisions." + line.event()).inc();
        mLogger.error(line.text(), cause);
    }

    private void startSecond(long second) {
        int leftOut = mDropped;
        mSecond = second;
        mLines = 0;
        mDropped = 0;
        if (leftOut > 0) {
            mLogger.info(LogLine.of("lines-left-out").with("count", leftOut).text());
        }
    }
}
