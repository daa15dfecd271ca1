package org.wasabilug.scenarios.internal.history;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.wasabilug.scenarios.internal.clock.VirtualClock;

/** Log of everything that happened in a run, in chronological order. */
public final class History {
    private final VirtualClock mClock;
    private final List<Entry> mEntries = new ArrayList<>();

    /**
     * Creates an empty history.
     *
     * @param clock source of the entries' timestamps
     */
    public History(VirtualClock clock) {
        mClock = clock;
    }

    /**
     * An event and the virtual time at which it occurred.
     *
     * @param atNanos nanoseconds since the start of the run
     * @param event the event
     */
    public record Entry(long atNanos, HistoryEvent event) {
        @Override
        public String toString() {
            return String.format(
                    "%10.3f ms  %s", atNanos / (double) VirtualClock.MILLISECOND_NANOS, event);
        }
    }

    /**
     * Appends an event, stamped with the current virtual time.
     *
     * @param event the event
     */
    public void add(HistoryEvent event) {
        mEntries.add(new Entry(mClock.nowNanos(), event));
    }

    /**
     * Returns all entries.
     *
     * @return a copy, in chronological order
     */
    public List<Entry> entries() {
        return List.copyOf(mEntries);
    }

    /**
     * Returns the events of one type.
     *
     * @param type type of the events
     * @param <T> type of the events
     * @return the events in chronological order
     */
    public <T extends HistoryEvent> Stream<T> events(Class<T> type) {
        return mEntries.stream().map(Entry::event).filter(type::isInstance).map(type::cast);
    }
}
