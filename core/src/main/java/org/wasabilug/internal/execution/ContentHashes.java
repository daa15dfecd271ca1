package org.wasabilug.internal.execution;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.wasabilug.model.CallerRequest;

/** Hashes the content of requests; the hash is the same at every instance. */
final class ContentHashes {
    private ContentHashes() {}

    /** Returns the hash of pipeline name and body, independent of the request id. */
    static long fingerprint(CallerRequest request) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(request.pipeline().name().value(), StandardCharsets.UTF_8);
        hasher.putChar('\n');
        hasher.putString(request.body(), StandardCharsets.UTF_8);
        return hasher.hash().asLong();
    }
}
