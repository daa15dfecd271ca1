package org.wasabilug.gateway.internal.request;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wasabilug.internal.serving.RequestFeatures;
import org.wasabilug.serving.PromptPart;

/** Hashes of a request by which crashes are traced to their cause; equal at all instances. */
final class RequestFingerprints {
    private static final long UNUSED = 0;

    private RequestFingerprints() {}

    /** Returns all features of a request. */
    static RequestFeatures of(RequestContext request) {
        return features(request, content(request));
    }

    /** Returns the features of a request without its content, which is expensive to hash. */
    static RequestFeatures withoutContent(RequestContext request) {
        return features(request, UNUSED);
    }

    private static RequestFeatures features(RequestContext request, long content) {
        return new RequestFeatures(
                hash(request.workspace().orElse(""), ""), content, sharedParts(request));
    }

    /** The same for a request that its caller resends under another id. */
    private static long content(RequestContext request) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(request.exchange().head().method().name(), StandardCharsets.UTF_8);
        hasher.putString(request.exchange().head().uri(), StandardCharsets.UTF_8);
        hasher.putString(request.workspace().orElse(""), StandardCharsets.UTF_8);
        hasher.putBytes(request.exchange().body());
        return hasher.hash().asLong();
    }

    /** Returns the parts but the last, which is the request's own. */
    private static Set<Long> sharedParts(RequestContext request) {
        List<PromptPart> parts = request.prompt().parts();
        Set<Long> fingerprints = new HashSet<>();
        for (int index = 0; index < parts.size() - 1; index++) {
            fingerprints.add(hash(request.service().name(), parts.get(index).id()));
        }
        return fingerprints;
    }

    private static long hash(String first, String second) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(first, StandardCharsets.UTF_8).putByte((byte) 0);
        return hasher.putString(second, StandardCharsets.UTF_8).hash().asLong();
    }
}
