package org.wasabilug.internal.instance;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.model.EndpointName;

/**
 * Polls the watched endpoints for their load, each once per round, evenly spread over the round.
 *
 * <p>A round takes half a second for up to 30 endpoints. With more endpoints it becomes
 * proportionally longer, so that no more than 60 endpoints are polled per second.
 */
final class LoadPolling {
    private static final long STEP_NANOS = 50_000_000L;
    private static final int MINIMUM_STEPS_PER_ROUND = 10;
    private static final int MAXIMUM_POLLS_PER_STEP = 3;

    private long mNextNanos;
    private boolean mStarted;
    private int mStep;

    long nextWakeNanos(long nowNanos) {
        return mStarted ? mNextNanos : nowNanos;
    }

    boolean isDue(long nowNanos) {
        return !mStarted || nowNanos - mNextNanos >= 0;
    }

    List<InstanceAction> poll(
            List<EndpointName> watched, Configuration configuration, long nowNanos) {
        mStarted = true;
        mNextNanos = nowNanos + STEP_NANOS;
        int steps = stepsPerRound(watched.size());
        mStep = (mStep + 1) % steps;
        List<InstanceAction> polls = new ArrayList<>();
        for (int index = mStep; index < watched.size(); index += steps) {
            configuration
                    .endpoint(watched.get(index))
                    .ifPresent(endpoint -> polls.add(new InstanceAction.PollEndpoint(endpoint)));
        }
        return polls;
    }

    /** Returns the duration of a round, in which every watched endpoint is polled once. */
    static long roundNanos(int watched) {
        return stepsPerRound(watched) * STEP_NANOS;
    }

    private static int stepsPerRound(int watched) {
        int neededSteps = (watched + MAXIMUM_POLLS_PER_STEP - 1) / MAXIMUM_POLLS_PER_STEP;
        return Math.max(MINIMUM_STEPS_PER_ROUND, neededSteps);
    }
}
