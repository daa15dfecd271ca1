package org.wasabilug.standin.internal.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import org.wasabilug.port.LoadReport;

/** Recent load reports. Not thread-safe; guarded by its owner. */
final class LoadReportHistory {
    private static final int MAXIMUM_REPORTS = 4096;

    private final Deque<Entry> mEntries = new ArrayDeque<>();

    void add(long nowNanos, LoadReport report) {
        if (!mEntries.isEmpty() && mEntries.getLast().report().equals(report)) {
            return;
        }
        mEntries.addLast(new Entry(nowNanos, report));
        if (mEntries.size() > MAXIMUM_REPORTS) {
            mEntries.removeFirst();
        }
    }

    /** Returns the report that was current at a time, or the oldest one kept, with its age. */
    LoadReport at(long atNanos, long nowNanos) {
        LoadReport report = entryAt(atNanos).report();
        return new LoadReport(
                report.generation(),
                report.cold(),
                report.inFlight(),
                report.queued(),
                TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - atNanos)));
    }

    private Entry entryAt(long atNanos) {
        Iterator<Entry> newestFirst = mEntries.descendingIterator();
        while (newestFirst.hasNext()) {
            Entry entry = newestFirst.next();
            if (entry.sinceNanos() - atNanos <= 0) {
                return entry;
            }
        }
        return mEntries.getFirst();
    }

    private record Entry(long sinceNanos, LoadReport report) {}
}
