package org.wasabilug.operator.internal.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;

/** Outcome of a request to an instance. */
public sealed interface Reply {
    /**
     * The instance processed the request.
     *
     * @param instance the instance
     * @param body JSON body of the response
     */
    record Answered(URI instance, JsonNode body) implements Reply {}

    /**
     * The instance refused the request.
     *
     * @param instance the instance
     * @param problem the reasons, as problem+json
     */
    record Refused(URI instance, JsonNode problem) implements Reply {
        /**
         * Returns the stable error code of the refusal.
         *
         * @return the code; empty if the response holds none
         */
        public String code() {
            return problem.path("code").asText();
        }
    }

    /**
     * No valid response arrived.
     *
     * @param instance the instance
     * @param sent false if the request has certainly not reached the instance
     */
    record Unreachable(URI instance, boolean sent) implements Reply {}
}
