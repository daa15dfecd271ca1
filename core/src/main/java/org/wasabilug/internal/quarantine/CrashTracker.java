package org.wasabilug.internal.quarantine;

import java.util.List;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.model.EndpointName;

/** Attributes crashes of endpoints to the contents of the requests that ran on them. */
public interface CrashTracker {
    /**
     * Classifies the content of a request.
     *
     * @param fingerprint hash of the content
     * @param nowNanos current monotonic time, in nanoseconds
     * @return the suspicion against the content
     */
    Suspicion classify(long fingerprint, long nowNanos);

    /**
     * Returns whether a content may currently be sent to an endpoint; check it in addition to
     * {@link #classify}.
     *
     * @param fingerprint hash of the content
     * @param endpoint the endpoint
     * @param nowNanos current monotonic time, in nanoseconds
     * @return true also for a content that is not suspect
     */
    boolean mayRunAt(long fingerprint, EndpointName endpoint, long nowNanos);

    /**
     * Records the dispatch of an attempt.
     *
     * @param attempt the attempt
     * @param fingerprint hash of the content
     * @param endpoint endpoint that it is sent to
     * @param nowNanos current monotonic time, in nanoseconds
     */
    void dispatched(AttemptId attempt, long fingerprint, EndpointName endpoint, long nowNanos);

    /**
     * Records that the result of an attempt is complete; call it before {@link #ended}.
     *
     * @param attempt the attempt
     * @param nowNanos current monotonic time, in nanoseconds
     */
    void completed(AttemptId attempt, long nowNanos);

    /**
     * Records the end of an attempt.
     *
     * @param attempt the attempt
     * @param crashed whether the connection was lost while the attempt ran
     * @param nowNanos current monotonic time, in nanoseconds
     * @return messages to peers and log lines
     */
    List<InstanceAction> ended(AttemptId attempt, boolean crashed, long nowNanos);
}
