package org.wasabilug.gateway.protocol;

import java.util.List;
import java.util.Optional;
import org.wasabilug.internal.serving.ServerLoad;
import org.wasabilug.serving.PromptPart;

/** Names and formats of one deployment. */
public interface WireProtocol {
    /** Returns the names of the headers. */
    HeaderNames headers();

    /** Returns the formats of the store. */
    StoreProtocol store();

    /** Returns the formats of endpoints that run stages. */
    StageProtocol stages();

    /** Returns the path of readiness checks. */
    String readinessPath();

    /**
     * Extracts the key of a caller.
     *
     * @param authorization value of the authorization header
     * @return the key, or empty if the value has another form
     */
    Optional<String> callerKey(String authorization);

    /**
     * Parses the parts of a prompt; unreadable parts are skipped.
     *
     * @param value value of the header
     * @return the parts in order
     */
    List<PromptPart> promptParts(String value);

    /**
     * Parses a list of counts; unreadable values count as 0.
     *
     * @param value value of the header
     * @return the counts in order
     */
    List<Integer> counts(String value);

    /**
     * Parses the load and speed that an endpoint states.
     *
     * @param value value of the header
     * @return the load, or empty if the value has another form or a figure can't be right
     */
    Optional<ServerLoad> serverLoad(String value);
}
