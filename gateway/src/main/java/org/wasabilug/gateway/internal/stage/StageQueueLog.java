package org.wasabilug.gateway.internal.stage;

import java.util.Map;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.StageQueue;

/** Logs the queues that are not empty, at a limited rate. */
final class StageQueueLog {
    private static final long INTERVAL_MILLIS = 1_000;

    private final GatewayState mState;
    private long mNextMillis = Long.MIN_VALUE;

    StageQueueLog(GatewayState state) {
        mState = state;
    }

    void write(Map<String, StageQueue> queues) {
        long now = mState.nowMillis();
        if (now < mNextMillis) {
            return;
        }
        mNextMillis = now + INTERVAL_MILLIS;
        queues.forEach(
                (service, queue) -> {
                    if (queue.size() > 0) {
                        mState.log().process(line(service, queue));
                    }
                });
    }

    private LogLine line(String service, StageQueue queue) {
        return LogLine.of("stage-queue")
                .with("service", service)
                .with("waiting", queue.size())
                .with("late", queue.lateSize())
                .with("calls", queue.runningCalls())
                .with("endpoints", mState.usable(service).size());
    }
}
