package org.wasabilug.internal.serving;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Software versions of the endpoints at which streams began, by the id of the attempt that brought
 * the first event.
 */
public final class StreamOrigins {
    private static final int MAX_ORIGINS = 20_000;

    /** Callers choose the ids; without a bound they would decide how much memory is taken. */
    private static final int MAX_ATTEMPT_CHARACTERS = 128;

    private final Map<String, Origin> mOrigins =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Origin> eldest) {
                    return size() > MAX_ORIGINS;
                }
            };

    private record Origin(String softwareVersion, long untilMillis) {}

    /**
     * Records where a stream began. A known origin stays, and a stream with an overlong id is not
     * remembered.
     *
     * @param attempt id of the attempt that brought the first event
     * @param softwareVersion software version of the endpoint
     * @param untilMillis monotonic time, in milliseconds, after which nobody resumes the stream
     * @return whether the stream is remembered
     */
    public boolean record(String attempt, String softwareVersion, long untilMillis) {
        if (attempt.length() > MAX_ATTEMPT_CHARACTERS) {
            return false;
        }
        mOrigins.putIfAbsent(attempt, new Origin(softwareVersion, untilMillis));
        return true;
    }

    /**
     * Returns the software version at which a stream began.
     *
     * @param attempt id of the attempt that brought the first event
     * @return the version, or empty if it is not known
     */
    public Optional<String> find(String attempt) {
        return Optional.ofNullable(mOrigins.get(attempt)).map(Origin::softwareVersion);
    }

    /**
     * Forgets the streams that nobody resumes any more.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void removeExpired(long nowMillis) {
        mOrigins.values().removeIf(origin -> origin.untilMillis() < nowMillis);
    }
}
