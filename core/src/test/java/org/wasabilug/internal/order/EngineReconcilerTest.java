package org.wasabilug.internal.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.EngineOrder;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OrderOutcome;
import org.wasabilug.internal.lease.SessionLease;
import org.wasabilug.internal.simulation.FaultyTable;
import org.wasabilug.internal.simulation.SimulatedProcess;
import org.wasabilug.internal.simulation.VirtualTime;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.EngineTarget;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.FencingBehaviour;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.VersionedObject;

class EngineReconcilerTest {
    private static final PoolName POOL = new PoolName("generate");
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long LOAD_NANOS = 20 * SECOND_NANOS;

    private final VirtualTime mTime = new VirtualTime();
    private final FaultyTable mTable =
            new FaultyTable(mTime, RandomSource.XO_RO_SHI_RO_128_PP.create(7), 0.2);
    private final Map<EndpointName, Engine> mEngines = new TreeMap<>();
    private Configuration mConfiguration = Configuration.empty();
    private int mOrders;

    /**
     * A simulated engine whose loads take time; an engine that ignores fencing accepts any order.
     */
    private final class Engine {
        final boolean mChecks;
        String mVersion = "1";
        long mNumber;
        boolean mLoading;

        Engine(boolean checks) {
            mChecks = checks;
        }

        OrderOutcome state() {
            return new OrderOutcome.State("model", mVersion, Set.of(), "generate", mNumber);
        }

        OrderOutcome execute(EngineOrder order) {
            if (mChecks && order.fencingNumber() < mNumber) {
                return new OrderOutcome.StaleFencing(mNumber);
            }
            mNumber = mChecks ? order.fencingNumber() : 0;
            mLoading = true;
            mTime.after(
                    LOAD_NANOS,
                    () -> {
                        mLoading = false;
                        mVersion = order.target().version();
                    });
            return state();
        }
    }

    private final class ReconcilingProcess extends SimulatedProcess {
        final SessionLease mLease;
        final EngineReconciler mReconciler;

        ReconcilingProcess(int index) {
            super(EngineReconcilerTest.this.mTime, mTable, index * SECOND_NANOS);
            mLease =
                    SessionLease.builder()
                            .instance(new InstanceName("entry-" + index))
                            .incarnation("process-" + index)
                            .random(RandomSource.XO_RO_SHI_RO_128_PP.create(index))
                            .build();
            mReconciler =
                    new EngineReconciler(
                            mLease,
                            RandomSource.XO_RO_SHI_RO_128_PP.create(index),
                            ReconcilerSettings.DEFAULT);
            mReconciler.configurationChanged(mConfiguration);
            mTime.every(Duration.ofMillis(100), () -> run(this::tick));
        }

        private void tick() {
            perform(mLease.tick(clockNanos()));
            List<InstanceAction> actions = mReconciler.tick(clockNanos());
            perform(actions);
            actions.forEach(this::performAtEngine);
        }

        private void performAtEngine(InstanceAction action) {
            if (action instanceof InstanceAction.SendOrder send) {
                mOrders++;
                EndpointName name = send.order().target().endpoint();
                answer(name, mEngines.get(name).execute(send.order()));
            } else if (action instanceof InstanceAction.ReadEngineState read) {
                answer(read.endpoint(), mEngines.get(read.endpoint()).state());
            }
        }

        private void answer(EndpointName engine, OrderOutcome outcome) {
            mTime.after(
                    SECOND_NANOS / 10,
                    () -> run(() -> handle(new InstanceEvent.OrderAnswered(engine, outcome))));
        }

        @Override
        protected void handle(InstanceEvent event) {
            perform(mLease.handle(event, clockNanos()));
            perform(mReconciler.handle(event, clockNanos()));
        }

        boolean ownsPool() {
            return !isTerminated() && mReconciler.fencingNumber(POOL, clockNanos()).isPresent();
        }
    }

    private void configure(int engines, String version, long ticket) {
        List<VersionedObject> objects = new ArrayList<>();
        for (int index = 0; index < engines; index++) {
            EndpointName name = new EndpointName("engine-" + index);
            boolean checks = index % 2 == 0;
            mEngines.computeIfAbsent(name, each -> new Engine(checks));
            objects.add(versioned(endpoint(name, checks), ticket));
            objects.add(
                    versioned(
                            new EngineTarget(name, "model", version, Set.of(), "generate"),
                            ticket));
        }
        mConfiguration = mConfiguration.merge(objects);
    }

    private static VersionedObject versioned(ConfigurationObject object, long ticket) {
        return new VersionedObject(object.objectKey(), ticket, Optional.of(object));
    }

    private static Endpoint endpoint(EndpointName name, boolean checks) {
        return Endpoint.builder()
                .name(name)
                .pool(POOL)
                .failureDomain(new FailureDomainName("north"))
                .address(URI.create("http://127.0.0.1:1"))
                .fencing(checks ? FencingBehaviour.CHECKS : FencingBehaviour.IGNORES)
                .build();
    }

    private boolean allAt(String version) {
        return mEngines.values().stream().allMatch(engine -> engine.mVersion.equals(version));
    }

    @Test
    void bringsEveryEngineToItsTargetWithLimitedConcurrentChanges() {
        configure(8, "2", 1);
        new ReconcilingProcess(1);
        List<Long> loading = new ArrayList<>();
        mTime.every(
                Duration.ofSeconds(1),
                () ->
                        loading.add(
                                mEngines.values().stream()
                                        .filter(engine -> engine.mLoading)
                                        .count()));

        mTime.runFor(Duration.ofMinutes(10));

        assertThat(allAt("2")).isTrue();
        assertThat(loading).allMatch(count -> count <= 2);
    }

    @Test
    void correctsAnEngineThatIgnoresFencingAfterAStaleOrder() {
        configure(4, "2", 1);
        new ReconcilingProcess(1);
        mTime.runFor(Duration.ofMinutes(5));
        EngineTarget old =
                new EngineTarget(new EndpointName("engine-1"), "model", "1", Set.of(), "generate");

        mEngines.get(old.endpoint()).execute(new EngineOrder(old, URI.create("http://x"), 0));
        mTime.runFor(Duration.ofMinutes(2));

        assertThat(allAt("2")).isTrue();
    }

    @Test
    void acquiresOwnershipWithHigherNumberThanAnyEngineHasSeen() {
        configure(4, "2", 1);
        mEngines.get(new EndpointName("engine-0")).mNumber = 41;
        new ReconcilingProcess(1);

        mTime.runFor(Duration.ofMinutes(5));

        assertThat(allAt("2")).isTrue();
        assertThat(mEngines.get(new EndpointName("engine-0")).mNumber).isGreaterThan(41);
    }

    @Test
    void passesOwnershipOnWithAtMostOneOwnerAtATime() {
        configure(4, "2", 1);
        List<ReconcilingProcess> processes =
                List.of(
                        new ReconcilingProcess(1),
                        new ReconcilingProcess(2),
                        new ReconcilingProcess(3));
        List<Long> owners = new ArrayList<>();
        mTime.every(
                Duration.ofMillis(100),
                () -> owners.add(processes.stream().filter(ReconcilingProcess::ownsPool).count()));
        mTime.every(
                Duration.ofSeconds(45),
                () ->
                        processes
                                .get((int) (mTime.nowNanos() / SECOND_NANOS % 3))
                                .pauseFor(30 * SECOND_NANOS));

        mTime.runFor(Duration.ofMinutes(10));

        assertThat(owners).allMatch(count -> count <= 1).contains(1L);
        assertThat(allAt("2")).isTrue();
    }

    @Test
    void staysWithinItsLoadLimitOfTheWeightStore() {
        configure(40, "2", 1);
        new ReconcilingProcess(1);

        mTime.runFor(Duration.ofMinutes(3));

        assertThat(mOrders).isLessThanOrEqualTo(3 * ReconcilerSettings.DEFAULT.maxLoadsPerMinute());
    }
}
