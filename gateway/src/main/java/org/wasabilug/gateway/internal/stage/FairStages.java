package org.wasabilug.gateway.internal.stage;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.rollout.SendKind;
import org.wasabilug.internal.serving.DeferredAdmission;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.FairOrder;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.QueueWaits;
import org.wasabilug.internal.serving.RetryPermit;
import org.wasabilug.internal.serving.StageQueue;
import org.wasabilug.serving.ServiceSpecification;
import org.wasabilug.serving.StageCapacity;

/**
 * Queues of stage services, and admission to them. Where callers compete for capacity, workspaces
 * get fair shares and late requests are deferred; elsewhere every piece is admitted, and the queue
 * serves by rank and latest start.
 */
final class FairStages {
    private static final long SHARES_INTERVAL_MILLIS = 1_000;
    private static final long REVIEW_INTERVAL_MILLIS = 1_000;

    private final GatewayState mState;
    private final boolean mEnabled;
    private final Map<String, FairOrder> mOrders = new HashMap<>();
    private final Map<String, Recent> mRecent = new HashMap<>();
    private final Map<String, Long> mNextReviewMillis = new HashMap<>();
    private long mNextSharesMillis = Long.MIN_VALUE;

    /** What decided on the last piece of a service. */
    private record Recent(int rank, long atMillis, DeferredAdmission admission) {}

    FairStages(GatewayState state) {
        mState = state;
        mEnabled = state.settings().features().fairAdmission();
    }

    /** Creates the queue of a service. */
    StageQueue createQueue(String service) {
        if (!mEnabled) {
            return new StageQueue(mState.speedMonitor().speeds());
        }
        FairOrder order = new FairOrder();
        mOrders.put(service, order);
        return StageQueue.fair(order, mState.speedMonitor().speeds());
    }

    /**
     * Adds a piece to its queue, unless it can't be served before its deadline.
     *
     * @return whether it was added; its permit was given back otherwise
     */
    boolean add(PieceWork work, RetryPermit permit, StageQueue queue, QueueWaits waits) {
        long now = mState.nowMillis();
        FairOrder order = mOrders.get(work.service());
        if (order == null) {
            queue.add(work, permit, now);
            return true;
        }
        DeferredAdmission.Decision decision =
                admission(work, order, waits, now).admit(work, permit, queue, order, now);
        if (decision == DeferredAdmission.Decision.TIMELY) {
            waits.recordTimely(now);
        } else if (decision == DeferredAdmission.Decision.REFUSED) {
            mState.log().count("pieces-refused");
        }
        return decision != DeferredAdmission.Decision.REFUSED;
    }

    /**
     * Removes the deferred pieces of a service that can't be served before their deadline any more,
     * once a second: more pieces in time may have arrived, or the throughput may have fallen.
     *
     * @return the removed pieces
     */
    List<PieceWork> removeUnservable(
            String service, StageQueue queue, QueueWaits waits, StageCapacity configured) {
        FairOrder order = mOrders.get(service);
        long now = mState.nowMillis();
        if (order == null
                || order.lateSize() == 0
                || now < mNextReviewMillis.getOrDefault(service, Long.MIN_VALUE)) {
            return List.of();
        }
        mNextReviewMillis.put(service, now + REVIEW_INTERVAL_MILLIS);
        List<EndpointState> usable = usable(service);
        StageCapacity capacity = atPresent(configured, usable, now);
        List<PieceWork> unservable =
                order.unservable(waits.admission(0, capacity, usable.size(), now), now);
        for (PieceWork work : unservable) {
            queue.cancel(work.id());
            mState.log().count("pieces-refused");
        }
        return unservable;
    }

    /** The pieces of a request arrive within a millisecond, and are decided on alike. */
    private DeferredAdmission admission(
            PieceWork work, FairOrder order, QueueWaits waits, long nowMillis) {
        Recent recent = mRecent.get(work.service());
        if (recent == null || recent.rank() != work.rank() || recent.atMillis() != nowMillis) {
            StageCapacity capacity =
                    mState.service(work.service())
                            .flatMap(ServiceSpecification::stage)
                            .orElse(StageCapacity.NONE);
            order.setCallMillis(capacity.callMillis() + capacity.pieceMillis());
            List<EndpointState> usable = usable(work.service());
            DeferredAdmission admission =
                    waits.admission(
                            work.rank(),
                            atPresent(capacity, usable, nowMillis),
                            usable.size(),
                            nowMillis);
            recent = new Recent(work.rank(), nowMillis, admission);
            mRecent.put(work.service(), recent);
        }
        return recent.admission();
    }

    private List<EndpointState> usable(String service) {
        return mState.rollouts().permitted(service, mState.usable(service), SendKind.FIRST);
    }

    /** Returns the capacity at the speeds that the endpoints state. */
    private StageCapacity atPresent(
            StageCapacity configured, List<EndpointState> usable, long nowMillis) {
        return mState.speedMonitor().speeds().atPresent(configured, usable, nowMillis);
    }

    /** Predicts the times of the pieces of a service. */
    List<QueueWaits.Wait> predict(
            String service, StageQueue queue, QueueWaits waits, StageCapacity configured) {
        List<EndpointState> usable = usable(service);
        long now = mState.nowMillis();
        StageCapacity capacity = atPresent(configured, usable, now);
        FairOrder order = mOrders.get(service);
        return order == null
                ? waits.predict(queue.waitingByRank(), capacity, usable.size(), now)
                : waits.predict(order, capacity, usable.size(), now);
    }

    /** Logs the requests to a service that were deferred since the last call. */
    void logDeferred(String service) {
        FairOrder order = mOrders.get(service);
        if (order != null) {
            order.takeDeferred().forEach(work -> logDeferred(work, order.lateSize()));
        }
    }

    private void logDeferred(PieceWork work, int deferred) {
        mState.log()
                .request(
                        LogLine.of("request-deferred")
                                .with("request", work.id().request())
                                .with("workspace", work.workspace())
                                .with("service", work.service())
                                .with("stage", work.id().stage())
                                .with("rank", work.rank())
                                .with("remaining", work.deadlineMillis() - mState.nowMillis())
                                .with("deferred", deferred));
    }

    /** Logs the shares of the workspaces of each service for which pieces wait, once a second. */
    void logShares() {
        long now = mState.nowMillis();
        if (now < mNextSharesMillis) {
            return;
        }
        mNextSharesMillis = now + SHARES_INTERVAL_MILLIS;
        mOrders.forEach(
                (service, order) -> {
                    boolean waiting = order.timelySize() + order.lateSize() > 0;
                    Map<String, Integer> sent = order.takeSent();
                    if (waiting) {
                        mState.log().process(shares(service, order, sent));
                    }
                });
    }

    private static LogLine shares(String service, FairOrder order, Map<String, Integer> sent) {
        var byCount = Map.Entry.<String, Integer>comparingByValue();
        var most = Collections.max(sent.entrySet(), byCount);
        var least = Collections.min(sent.entrySet(), byCount);
        return LogLine.of("workspace-share")
                .with("service", service)
                .with("workspaces", sent.size())
                .with("waiting", order.timelySize())
                .with("deferred", order.lateSize())
                .with("sent", sent.values().stream().mapToInt(Integer::intValue).sum())
                .with("most", most.getKey())
                .with("most_sent", most.getValue())
                .with("least", least.getKey())
                .with("least_sent", least.getValue());
    }
}
