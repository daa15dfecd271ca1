package org.wasabilug.internal.serving;

import java.util.Set;

/**
 * The features of a request by which crashes are traced to their cause.
 *
 * @param workspace hash of the name of the workspace that sent the request
 * @param content fingerprint of the whole content
 * @param parts fingerprints of the prompt parts that other requests may share
 */
public record RequestFeatures(long workspace, long content, Set<Long> parts) {
    /** Creates features with their own copy of the parts. */
    public RequestFeatures {
        parts = Set.copyOf(parts);
    }
}
