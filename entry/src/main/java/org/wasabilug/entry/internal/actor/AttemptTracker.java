package org.wasabilug.entry.internal.actor;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.model.RequestId;

/** Which attempts feed which request, and whose attempts are held back. */
final class AttemptTracker {
    private final Map<RequestId, Set<AttemptId>> mAttempts = new HashMap<>();
    private final Set<RequestId> mHeld = new HashSet<>();

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

    Set<AttemptId> of(RequestId request) {
        return Set.copyOf(mAttempts.getOrDefault(request, Set.of()));
    }

    boolean isHeld(RequestId request) {
        return mHeld.contains(request);
    }

    boolean hold(RequestId request) {
        return mHeld.add(request);
    }

    boolean release(RequestId request) {
        return mHeld.remove(request);
    }
}
