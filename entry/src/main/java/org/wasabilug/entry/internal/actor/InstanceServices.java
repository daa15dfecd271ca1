package org.wasabilug.entry.internal.actor;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wasabilug.internal.event.Decision;
import org.wasabilug.internal.event.TicketAnswer;

/**
 * Handles what concerns no single caller: ticket answers, the decision log, wake-ups and the
 * planned stop.
 */
final class InstanceServices {
    private final WakeUpTimer mWakeUpTimer;
    private final DecisionHistory mDecisions;
    private final InstanceMetrics mMetrics;
    private final Map<Long, CompletableFuture<TicketAnswer>> mSubmissions = new HashMap<>();
    private long mLastSubmission;
    private Optional<CompletableFuture<Void>> mStop = Optional.empty();

    InstanceServices(WakeUpTimer wakeUpTimer, int rememberedDecisions, InstanceMetrics metrics) {
        mMetrics = metrics;
        mWakeUpTimer = wakeUpTimer;
        mDecisions = new DecisionHistory(rememberedDecisions);
    }

    long registerTicket(CompletableFuture<TicketAnswer> answer) {
        mLastSubmission++;
        mSubmissions.put(mLastSubmission, answer);
        return mLastSubmission;
    }

    void answerTicket(long submission, TicketAnswer answer) {
        Optional.ofNullable(mSubmissions.remove(submission))
                .ifPresent(pending -> pending.complete(answer));
    }

    void scheduleWakeUp(long atNanos) {
        mWakeUpTimer.schedule(atNanos, System.nanoTime());
    }

    void logDecision(Decision decision) {
        mDecisions.add(decision);
        mMetrics.decisionLogged();
        DecisionLog.write(decision);
    }

    List<Decision> decisionsOf(String request) {
        return mDecisions.ofRequest(request);
    }

    /**
     * Registers a future that completes when the planned stop has finished.
     *
     * @return true for the first call; later futures complete with the first one
     */
    boolean beginStop(CompletableFuture<Void> finished) {
        if (mStop.isPresent()) {
            mStop.get().thenAccept(finished::complete);
            return false;
        }
        mStop = Optional.of(finished);
        return true;
    }

    void finishStop() {
        mStop.ifPresent(finished -> finished.complete(null));
    }
}
