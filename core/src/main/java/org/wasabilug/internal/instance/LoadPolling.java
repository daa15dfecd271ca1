package org.wasabilug.internal.instance;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.model.EndpointName;

/** Asks the watched endpoints for their load, each once in a round, spread over the round. */
final class LoadPolling {
    private static final long ROUND_NANOS = 500_000_000L;
    private static final int STEPS_PER_ROUND = 10;
    private static final long STEP_NANOS = ROUND_NANOS / STEPS_PER_ROUND;

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
        mStep = (mStep + 1) % STEPS_PER_ROUND;
        List<InstanceAction> polls = new ArrayList<>();
        for (int index = mStep; index < watched.size(); index += STEPS_PER_ROUND) {
            configuration
                    .endpoint(watched.get(index))
                    .ifPresent(endpoint -> polls.add(new InstanceAction.PollEndpoint(endpoint)));
        }
        return polls;
    }
}
