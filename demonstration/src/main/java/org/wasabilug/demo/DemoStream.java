package org.wasabilug.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Collects a streamed answer and prints its first events and the last one. */
final class DemoStream {
    private static final int FIRST_EVENTS = 3;

    private final List<String> mEvents = new ArrayList<>();
    private StringBuilder mEvent = new StringBuilder();

    void addLine(String line) {
        if (!line.isBlank()) {
            mEvent.append(mEvent.isEmpty() ? "" : " ").append(line);
        } else if (!mEvent.isEmpty()) {
            mEvents.add(mEvent.toString());
            mEvent = new StringBuilder();
        }
    }

    void print(PrintStream out) {
        addLine("");
        int first = Math.min(FIRST_EVENTS, mEvents.size());
        mEvents.subList(0, first).forEach(event -> out.println("  " + event));
        if (mEvents.size() > first) {
            out.println("  and " + (mEvents.size() - first - 1) + " more events, then the last:");
            out.println("  " + mEvents.getLast());
        }
    }
}
