package org.wasabilug.scenarios.internal.history;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.wasabilug.scenarios.internal.clock.VirtualClock;

/** Everything that happened in a run, in order. */
public final class History {
    private final VirtualClock mClock;
    private final List<Entry> mEntries = new ArrayList<>();

    /**
     * Creates an empty history.
     *
     * @param clock gives the time of each entry
     */
    public History(VirtualClock clock) {
        mClock = clock;
    }

    /**
     * An event with its time.
     *
     * @param atNanos when, in nanoseconds from the start of the run
     * @param event what happened
     */
    public record Entry(long atNanos, HistoryEvent event) {
        @Override
        public String toString() {
            return String.format(
                    "%10.3f ms  %s", atNanos / (double) VirtualClock.MILLISECOND_NANOS, event);
        }
    }

    /**
     * Adds an event that happens now.
     *
     * @param event the event
     */
    public void add(HistoryEvent event) {
        mEntries.add(new Entry(mClock.nowNanos(), event));
    }

    /**
     * Every entry.
     *
     * @return the entries in order
     */
    public List<Entry> entries() {
        return List.copyOf(mEntries);
    }

    /**
     * The events of one kind.
     *
     * @param type the kind
     * @param <T> the kind
     * @return the events in order
     */
    public <T extends HistoryEvent> Stream<T> events(Class<T> type) {
        return mEntries.stream().map(Entry::event).filter(type::isInstance).map(type::cast);
    }
}
