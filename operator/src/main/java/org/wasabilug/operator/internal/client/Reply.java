package org.wasabilug.operator.internal.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;

/** What came of a request to an instance. */
public sealed interface Reply {
    /**
     * The instance answered as asked.
     *
     * @param instance the instance
     * @param body its answer
     */
    record Answered(URI instance, JsonNode body) implements Reply {}

    /**
     * The instance refused.
     *
     * @param instance the instance
     * @param problem its reasons, as problem+json
     */
    record Refused(URI instance, JsonNode problem) implements Reply {
        /**
         * Stable code of the refusal.
         *
         * @return the code; empty text where there is none
         */
        public String code() {
            return problem.path("code").asText();
        }
    }

    /**
     * The instance can't be reached.
     *
     * @param instance the instance
     * @param sent false where the request certainly has not reached it
     */
    record Unreachable(URI instance, boolean sent) implements Reply {}
}
