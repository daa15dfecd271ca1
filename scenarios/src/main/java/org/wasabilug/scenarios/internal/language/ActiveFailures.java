package org.wasabilug.scenarios.internal.language;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.scenarios.internal.fleet.Fleet;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** Failures that a scenario has begun, with the actions that end them. */
final class ActiveFailures {
    private final Fleet mFleet;
    private final List<Runnable> mRepairs = new ArrayList<>();

    ActiveFailures(Fleet fleet) {
        mFleet = fleet;
    }

    void begin(String what, Runnable failure, Runnable repair) {
        mFleet.history().add(new HistoryEvent.Disturbance(what));
        failure.run();
        mRepairs.add(repair);
    }

    void endAll() {
        mFleet.history().add(new HistoryEvent.Disturbance("every failure ends"));
        List<Runnable> repairs = List.copyOf(mRepairs);
        mRepairs.clear();
        repairs.forEach(Runnable::run);
    }
}
