package org.wasabilug.internal.deadline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.model.WorkspaceName;

/** Waiting calls with a bounded queue per pool. */
public final class SlackWaitingCalls implements WaitingCalls {
    private record CallKey(RequestId request, StageName stage) {}

    private final QueueOrder mOrder;
    private final int mCapacityPerPool;
    private final Map<CallKey, WaitingCall> mCalls = new HashMap<>();
    private final TreeMap<PoolName, PoolQueue> mPools = new TreeMap<>();
    private final TreeSet<WaitingCall> mByLatestStart =
            new TreeSet<>(new QueueOrder.LeastSlack().comparator());
    private long mNowNanos;

    /**
     * Creates an empty queue.
     *
     * @param order order in which calls start
     * @param capacityPerPool maximum number of calls that wait for one pool
     */
    public SlackWaitingCalls(QueueOrder order, int capacityPerPool) {
        mOrder = order;
        mCapacityPerPool = capacityPerPool;
    }

    @Override
    public Optional<WaitingCall> add(WaitingCall call) {
        remove(call.request(), call.stage());
        mCalls.put(keyOf(call), call);
        mByLatestStart.add(call);
        PoolQueue queue = mPools.computeIfAbsent(call.pool(), pool -> new PoolQueue(mOrder));
        queue.add(call);
        if (queue.size() <= mCapacityPerPool) {
            return Optional.empty();
        }
        WaitingCall evicted = queue.evictionCandidate();
        discard(evicted);
        return Optional.of(evicted);
    }

    private static CallKey keyOf(WaitingCall call) {
        return new CallKey(call.request(), call.stage());
    }

    @Override
    public Optional<WaitingCall> peek(PoolName pool, long nowNanos) {
        mNowNanos = nowNanos;
        PoolQueue queue = mPools.get(pool);
        return queue == null ? Optional.empty() : queue.peek();
    }

    @Override
    public void remove(RequestId request, StageName stage) {
        WaitingCall call = mCalls.remove(new CallKey(request, stage));
        if (call == null) {
            return;
        }
        mByLatestStart.remove(call);
        mPools.get(call.pool()).remove(call, mNowNanos);
    }

    private void discard(WaitingCall call) {
        mCalls.remove(keyOf(call));
        mByLatestStart.remove(call);
        mPools.get(call.pool()).discard(call);
    }

    @Override
    public List<WaitingCall> removeExpired(long nowNanos) {
        mNowNanos = nowNanos;
        List<WaitingCall> expired = new ArrayList<>();
        while (!mByLatestStart.isEmpty() && mByLatestStart.first().latestStartNanos() < nowNanos) {
            WaitingCall call = mByLatestStart.first();
            expired.add(call);
            discard(call);
        }
        return List.copyOf(expired);
    }

    @Override
    public long expectedWaitNanos(PoolName pool, WorkspaceName workspace) {
        PoolQueue queue = mPools.get(pool);
        return queue == null ? 0 : queue.expectedWaitNanos(workspace);
    }

    @Override
    public int size() {
        return mCalls.size();
    }

    @Override
    public List<PoolName> pools() {
        return mPools.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 0)
                .map(Map.Entry::getKey)
                .toList();
    }
}
