package org.wasabilug.internal.quarantine;

import java.util.List;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.model.EndpointName;

/** Ties crashes of endpoints to the content of the requests that ran on them. */
public interface CrashWatch {
    /**
     * Judges a request's content.
     *
     * @param fingerprint hash of the content
     * @param nowNanos monotonic time, in nanoseconds
     * @return what is known of it
     */
    Suspicion judge(long fingerprint, long nowNanos);

    /**
     * Notes an attempt that is being sent.
     *
     * @param attempt the attempt
     * @param fingerprint hash of the content
     * @param endpoint where it goes
     * @param nowNanos monotonic time, in nanoseconds
     */
    void dispatched(AttemptId attempt, long fingerprint, EndpointName endpoint, long nowNanos);

    /**
     * Notes the end of an attempt.
     *
     * @param attempt the attempt
     * @param crashed true where the connection broke while the attempt ran
     * @param nowNanos monotonic time, in nanoseconds
     * @return messages for peers and log lines
     */
    List<InstanceAction> ended(AttemptId attempt, boolean crashed, long nowNanos);
}
