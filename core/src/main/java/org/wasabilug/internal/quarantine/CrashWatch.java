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
    Suspicion classify(long fingerprint, long nowNanos);

    /**
     * Tells whether a content may be sent to an endpoint now; to be asked beside {@link #classify}.
     *
     * @param fingerprint hash of the content
     * @param endpoint the endpoint
     * @param nowNanos monotonic time, in nanoseconds
     * @return true also for contents that are no suspects
     */
    boolean mayRunAt(long fingerprint, EndpointName endpoint, long nowNanos);

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
     * Notes that an attempt has its whole result; to be called before {@link #ended}.
     *
     * @param attempt the attempt
     * @param nowNanos monotonic time, in nanoseconds
     */
    void completed(AttemptId attempt, long nowNanos);

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
