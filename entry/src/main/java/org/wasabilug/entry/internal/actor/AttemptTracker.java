package org.wasabilug.entry.internal.actor;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.model.RequestId;

/** Running attempts of each request, and the requests whose attempts are paused. */
final class AttemptTracker {
    private final Map<RequestId, Set<AttemptId>> mAttempts = new HashMap<>();
    private final Set<RequestId> mPaused = new HashSet<>();

    void started(AttemptId attempt) {
        mAttempts.computeIfAbsent(attempt.request(), request -> new HashSet<>()).add(attempt);
    }

    void ended(AttemptId attempt) {
        mAttempts.computeIfPresent(
                attempt.request(),
                (request, attempts) -> {
                    attempts.remove(attempt);
                    return attempts.isEmpty() ? null : attempts;
                });
    }

    Set<AttemptId> ofRequest(RequestId request) {
        return Set.copyOf(mAttempts.getOrDefault(request, Set.of()));
    }

    boolean isPaused(RequestId request) {
        return mPaused.contains(request);
    }

    boolean pause(RequestId request) {
        return mPaused.add(request);
    }

    boolean resume(RequestId request) {
        return mPaused.remove(request);
    }
}
