package org.wasabilug.gateway.internal.request;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Recognizes a request that its caller sends again, whatever its id. */
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
