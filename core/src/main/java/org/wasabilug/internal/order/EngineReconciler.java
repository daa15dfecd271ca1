package org.wasabilug.internal.order;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.Decision;
import org.wasabilug.internal.event.EngineOrder;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OrderOutcome;
import org.wasabilug.internal.lease.HeldLease;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.EngineTarget;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.VersionedObject;

/**
 * Brings model engines to the desired state that their tickets specify.
 *
 * <p>Only the instance that owns a pool sends orders to its engines, each with the ownership's
 * fencing number. The state of every engine is read periodically, so that an engine that executed a
 * stale order of a previous owner is detected and corrected, whether or not it checks fencing
 * numbers.
 */
public final class EngineReconciler {
    private static final long MINUTE_NANOS = 60_000_000_000L;

    private final HeldLease mLease;
    private final ReconcilerSettings mSettings;
    private final PoolOwnerships mOwnerships;
    private final Map<EndpointName, EngineView> mEngineViews = new HashMap<>();
    private final ArrayDeque<Long> mRecentLoadNanos = new ArrayDeque<>();
    private Map<PoolName, List<Engine>> mEnginesByPool = Map.of();
    private Map<EndpointName, Engine> mEnginesByName = Map.of();

    private record Engine(Endpoint endpoint, EngineTarget target) {}

    /**
     * Creates a reconciler that owns no pool.
     *
     * @param lease session lease of this process
     * @param random seeded random source for jitter
     * @param settings intervals and limits
     */
    public EngineReconciler(
            HeldLease lease, UniformRandomProvider random, ReconcilerSettings settings) {
        mLease = lease;
        mSettings = settings;
        mOwnerships = new PoolOwnerships(lease, random, settings);
    }

    /**
     * Applies a new configuration.
     *
     * @param configuration active configuration
     */
    public void configurationChanged(Configuration configuration) {
        mEnginesByPool =
                configuration.objects().stream()
                        .map(VersionedObject::state)
                        .flatMap(Optional::stream)
                        .filter(EngineTarget.class::isInstance)
                        .map(EngineTarget.class::cast)
                        .flatMap(target -> engine(target, configuration).stream())
                        .sorted(
                                (left, right) ->
                                        left.endpoint().name().compareTo(right.endpoint().name()))
                        .collect(
                                Collectors.groupingBy(
                                        engine -> engine.endpoint().pool(),
                                        TreeMap::new,
                                        Collectors.toList()));
        mEnginesByName =
                mEnginesByPool.values().stream()
                        .flatMap(List::stream)
                        .collect(
                                Collectors.toMap(
                                        engine -> engine.endpoint().name(), Function.identity()));
        mOwnerships.setPools(mEnginesByPool.keySet());
        mEngineViews.keySet().removeIf(name -> configuration.engineTarget(name).isEmpty());
    }

    private Optional<Engine> engine(EngineTarget target, Configuration configuration) {
        return configuration
                .endpoint(target.endpoint())
                .filter(endpoint -> !endpoint.leaving())
                .map(endpoint -> new Engine(endpoint, target));
    }

    /**
     * Performs the work that is due.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return requests to the table service and to engines, and decisions to log
     */
    public List<InstanceAction> tick(long nowNanos) {
        List<InstanceAction> actions = new ArrayList<>(mOwnerships.tick(nowNanos));
        mEnginesByPool.forEach(
                (pool, engines) ->
                        mOwnerships
                                .fencingNumber(pool, nowNanos)
                                .ifPresent(
                                        number -> reconcile(engines, number, nowNanos, actions)));
        return actions;
    }

    private void reconcile(
            List<Engine> engines, long number, long nowNanos, List<InstanceAction> actions) {
        for (Engine engine : engines) {
            EngineView view = viewOf(engine);
            if (nowNanos - view.mReadNanos >= mSettings.engineReadInterval().toNanos()) {
                view.mReadNanos = nowNanos;
                Endpoint endpoint = engine.endpoint();
                actions.add(
                        new InstanceAction.ReadEngineState(endpoint.name(), endpoint.address()));
            }
        }
        long changing = engines.stream().filter(engine -> viewOf(engine).mayBeChanging()).count();
        long allowed = Math.max(1, engines.size() / mSettings.concurrentChangeDivisor());
        for (Engine engine : engines) {
            EngineView view = viewOf(engine);
            boolean resend =
                    view.mChanging
                            && nowNanos - view.mOrderedNanos
                                    >= mSettings.resendInterval().toNanos();
            boolean start = !view.mChanging && changing < allowed;
            if (view.differsFrom(engine.target())
                    && (resend || start)
                    && reserveLoad(engine, nowNanos)) {
                changing += start ? 1 : 0;
                sendOrder(engine, number, nowNanos, actions);
            }
        }
    }

    private EngineView viewOf(Engine engine) {
        return mEngineViews.computeIfAbsent(engine.endpoint().name(), name -> new EngineView());
    }

    private boolean reserveLoad(Engine engine, long nowNanos) {
        if (!viewOf(engine).needsLoad(engine.target())) {
            return true;
        }
        while (!mRecentLoadNanos.isEmpty()
                && nowNanos - mRecentLoadNanos.getFirst() >= MINUTE_NANOS) {
            mRecentLoadNanos.removeFirst();
        }
        if (mRecentLoadNanos.size() >= mSettings.maxLoadsPerMinute()) {
            return false;
        }
        mRecentLoadNanos.addLast(nowNanos);
        return true;
    }

    private void sendOrder(
            Engine engine, long number, long nowNanos, List<InstanceAction> actions) {
        EngineView view = viewOf(engine);
        view.mChanging = true;
        view.mOrderedNanos = nowNanos;
        EngineOrder order = new EngineOrder(engine.target(), engine.endpoint().address(), number);
        actions.add(new InstanceAction.SendOrder(order));
        actions.add(
                new InstanceAction.LogDecision(
                        new Decision(
                                "order",
                                "",
                                "",
                                "",
                                mEnginesByPool.get(engine.endpoint().pool()).size(),
                                engine.endpoint().name().value(),
                                "state differs from desired state; fencing number " + number,
                                -1)));
    }

    /**
     * Handles an answer of the table service or of an engine; other events are ignored.
     *
     * @param event the event
     * @param nowNanos monotonic time, in nanoseconds
     * @return requests to the table service
     */
    public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        if (event instanceof InstanceEvent.OrderAnswered answer) {
            onEngineAnswer(answer.endpoint(), answer.outcome());
            return List.of();
        }
        return mOwnerships.handle(event, nowNanos);
    }

    private void onEngineAnswer(EndpointName endpoint, OrderOutcome outcome) {
        Engine engine = mEnginesByName.get(endpoint);
        if (engine == null) {
            return;
        }
        EngineView view = viewOf(engine);
        switch (outcome) {
            case OrderOutcome.State state -> {
                view.mState = Optional.of(state);
                view.mChanging &= !EngineView.matches(engine.target(), state);
                mOwnerships.observeFencingNumber(engine.endpoint().pool(), state.fencingNumber());
            }
            case OrderOutcome.StaleFencing stale ->
                    mOwnerships.observeFencingNumber(engine.endpoint().pool(), stale.newerNumber());
            case OrderOutcome.Unreachable ignored -> view.mState = Optional.empty();
        }
    }

    /**
     * Returns the fencing number of this instance's orders to the engines of a pool.
     *
     * @param pool the pool
     * @param nowNanos monotonic time, in nanoseconds
     * @return the number; empty if this instance does not own the pool
     */
    public Optional<Long> fencingNumber(PoolName pool, long nowNanos) {
        return mOwnerships.fencingNumber(pool, nowNanos);
    }

    /**
     * Returns when {@link #tick} must be called next.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return monotonic time, in nanoseconds
     */
    public long nextWakeNanos(long nowNanos) {
        boolean active = mLease.isHeld(nowNanos) && !mEnginesByPool.isEmpty();
        return active
                ? Math.min(mOwnerships.nextWakeNanos(), nowNanos + MINUTE_NANOS / 60)
                : nowNanos + MINUTE_NANOS / 60;
    }
}
