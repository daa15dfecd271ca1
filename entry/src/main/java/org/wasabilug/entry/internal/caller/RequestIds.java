package org.wasabilug.entry.internal.caller;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.WorkspaceName;

/** Assigns ids to requests. */
final class RequestIds {
    private final String mPrefix = "generated." + UUID.randomUUID() + ".";
    private final AtomicLong mLastGenerated = new AtomicLong();

    /**
     * Returns the id of a request: derived from the idempotency key if there is one, else
     * generated. A generated id contains no colon, so it never equals one derived from a key.
     */
    RequestId idOf(WorkspaceName workspace, Optional<String> idempotencyKey) {
        return idempotencyKey
                .map(key -> CallerRequest.requestIdOf(workspace, key))
                .orElseGet(() -> new RequestId(mPrefix + mLastGenerated.incrementAndGet()));
    }
}
