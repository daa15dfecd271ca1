package org.wasabilug.gateway.protocol;

import java.util.List;
import java.util.Optional;
import org.wasabilug.serving.PromptPart;

/** Names and formats of one deployment. */
public interface WireProtocol {
    /**
     * Names the headers.
     *
     * @return the names
     */
    HeaderNames headers();

    /**
     * Gives the formats of the store.
     *
     * @return the formats
     */
    StoreProtocol store();

    /**
     * Gives the formats of endpoints that do stages.
     *
     * @return the formats
     */
    StageProtocol stages();

    /**
     * Names the path at which readiness is asked.
     *
     * @return the path
     */
    String readinessPath();

    /**
     * Reads a caller's key.
     *
     * @param authorization value of the authorization header
     * @return the key, or empty where the value has another form
     */
    Optional<String> callerKey(String authorization);

    /**
     * Reads the parts of a prompt; unreadable parts are left out.
     *
     * @param value value of the header
     * @return the parts in order
     */
    List<PromptPart> promptParts(String value);

    /**
     * Reads a list of counts; unreadable values count as 0.
     *
     * @param value value of the header
     * @return the counts in order
     */
    List<Integer> counts(String value);
}
