package org.wasabilug.entry.internal.caller;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.WorkspaceName;

/** Gives requests their identity. */
final class RequestIds {
    private final String mPrefix = "generated." + UUID.randomUUID() + ".";
    private final AtomicLong mLastGenerated = new AtomicLong();

    /** The identity; generated ones hold no colon, so they never equal one made from a key. */
    RequestId idOf(WorkspaceName workspace, Optional<String> idempotencyKey) {
        return idempotencyKey
                .map(key -> CallerRequest.requestIdOf(workspace, key))
                .orElseGet(() -> new RequestId(mPrefix + mLastGenerated.incrementAndGet()));
    }
}
