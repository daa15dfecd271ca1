package org.wasabilug.entry.internal.actor;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.wasabilug.model.RequestId;

/** The most recent requests with an idempotency key; evicts the oldest beyond its capacity. */
final class RequestHistory {
    private final int mCapacity;
    private final Map<RequestId, RequestRecord> mRecords = new LinkedHashMap<>();

    RequestHistory(int capacity) {
        mCapacity = capacity;
    }

    Optional<RequestRecord> find(RequestId request) {
        return Optional.ofNullable(mRecords.get(request));
    }

    void add(RequestId request, String fingerprint) {
        mRecords.remove(request);
        mRecords.put(request, RequestRecord.running(fingerprint));
        while (mRecords.size() > mCapacity) {
            mRecords.remove(mRecords.keySet().iterator().next());
        }
    }

    void update(RequestId request, UnaryOperator<RequestRecord> change) {
        mRecords.computeIfPresent(request, (id, earlier) -> change.apply(earlier));
    }
}
