package org.wasabilug.gateway.internal.request;

import java.util.Optional;
import java.util.function.Consumer;

/** Knows at which software version streams began, also those that began at other instances. */
public interface StreamOriginRegistry {
    /**
     * Records that the first event of a stream was passed on to its caller.
     *
     * @param attempt id of the attempt that brought the event
     * @param softwareVersion software version of the endpoint that wrote the event
     * @param untilMillis monotonic time, in milliseconds, until which the stream may be resumed
     */
    void began(String attempt, String softwareVersion, long untilMillis);

    /**
     * Finds the software version at which a stream may go on.
     *
     * @param attempt id of the attempt that brought the first event; empty if the caller does not
     *     tell
     * @param service name of the service that runs the stream
     * @param receiver receives the version, or empty if it can't be known; called once, possibly
     *     before this method returns
     */
    void find(String attempt, String service, Consumer<Optional<String>> receiver);
}
