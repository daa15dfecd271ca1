package org.wasabilug.entry.internal.actor;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.wasabilug.internal.event.Decision;

/** The most recent decisions, kept so that operators can have a request explained. */
final class DecisionHistory {
    private final int mCapacity;
    private final Deque<Decision> mDecisions = new ArrayDeque<>();

    DecisionHistory(int capacity) {
        mCapacity = capacity;
    }

    void add(Decision decision) {
        if (mDecisions.size() >= mCapacity) {
            mDecisions.removeFirst();
        }
        mDecisions.addLast(decision);
    }

    List<Decision> ofRequest(String request) {
        return mDecisions.stream().filter(each -> each.request().equals(request)).toList();
    }
}
