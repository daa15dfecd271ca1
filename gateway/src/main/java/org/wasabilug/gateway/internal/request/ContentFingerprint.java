package org.wasabilug.gateway.internal.request;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Hash of a request's content; the same for a request that its caller resends under another id. */
final class ContentFingerprint {
    private ContentFingerprint() {}

    static long of(RequestContext request) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(request.exchange().head().method().name(), StandardCharsets.UTF_8);
        hasher.putString(request.exchange().head().uri(), StandardCharsets.UTF_8);
        hasher.putString(request.workspace().orElse(""), StandardCharsets.UTF_8);
        hasher.putBytes(request.exchange().body());
        return hasher.hash().asLong();
    }
}
