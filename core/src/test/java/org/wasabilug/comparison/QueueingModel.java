package org.wasabilug.comparison;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.deadline.WaitingCall;
import org.wasabilug.internal.grant.ColdStartGate;
import org.wasabilug.internal.routing.AdaptiveRouter;
import org.wasabilug.internal.routing.RoutingSettings;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.DomainState;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.LoadReport;
import org.wasabilug.port.VersionedObject;

/**
 * Simulates one pool of endpoints behind several entry instances, with delayed load reports.
 *
 * <p>Short calls with an early deadline and long calls with a later one arrive at random from two
 * large and three small workspaces.
 */
final class QueueingModel {
    private static final PoolName POOL = new PoolName("generators");
    private static final double[] WORKSPACE_SHARES = {0.45, 0.3, 0.1, 0.1, 0.05};
    private static final double SHORT_SHARE = 0.5;
    private static final double SHORT_WORK_NANOS = 200e6;
    private static final double LONG_WORK_NANOS = 800e6;
    private static final long SHORT_DEADLINE_NANOS = 2_000_000_000L;
    private static final long LONG_DEADLINE_NANOS = 6_000_000_000L;

    private final ModelSettings mSettings;
    private final ModelClock mClock = new ModelClock();
    private final UniformRandomProvider mRandom;
    private final Map<EndpointName, ModelEndpoint> mEndpoints = new HashMap<>();
    private final List<ModelEndpoint> mOrdered = new ArrayList<>();
    private final List<ModelInstance> mInstances = new ArrayList<>();
    private final ModelResult mResult = new ModelResult();
    private int mRequests;

    private QueueingModel(ModelSettings settings) {
        mSettings = settings;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
        Configuration configuration = configure();
        for (int index = 0; index < ModelSettings.INSTANCES; index++) {
            mInstances.add(instance(index, configuration));
        }
    }

    static ModelResult run(ModelSettings settings) {
        QueueingModel model = new QueueingModel(settings);
        model.mOrdered.forEach(model::reportPeriodically);
        model.submitNextArrival();
        model.mClock.runUntil(ModelSettings.RUN_NANOS + LONG_DEADLINE_NANOS);
        return model.mResult;
    }

    private static FailureDomainName domainName(int index) {
        return new FailureDomainName("domain-" + index % ModelSettings.DOMAINS);
    }

    private Configuration configure() {
        List<ConfigurationObject> objects = new ArrayList<>();
        for (int index = 0; index < ModelSettings.DOMAINS; index++) {
            objects.add(
                    FailureDomain.builder()
                            .name(domainName(index))
                            .state(DomainState.IN_SERVICE)
                            .build());
        }
        for (int index = 0; index < ModelSettings.ENDPOINTS; index++) {
            Endpoint endpoint = endpoint(index);
            double slowFactor = index == 0 ? mSettings.slowFactor() : 1;
            ModelEndpoint model = new ModelEndpoint(endpoint, mClock, slowFactor);
            mEndpoints.put(endpoint.name(), model);
            mOrdered.add(model);
            objects.add(endpoint);
        }
        return Configuration.empty()
                .merge(
                        objects.stream()
                                .map(
                                        object ->
                                                new VersionedObject(
                                                        object.objectKey(), 1, Optional.of(object)))
                                .toList());
    }

    private static Endpoint endpoint(int index) {
        return Endpoint.builder()
                .name(new EndpointName("engine-" + index))
                .pool(POOL)
                .failureDomain(domainName(index))
                .address(URI.create("http://127.0.0.1:9"))
                .concurrencyLimit(ModelSettings.CONCURRENCY_LIMIT)
                .build();
    }

    private ModelInstance instance(int index, Configuration configuration) {
        AdaptiveRouter router =
                AdaptiveRouter.builder()
                        .instance(new InstanceName("entry-" + index))
                        .localDomain(domainName(index))
                        .coldStartGate((endpoint, nowNanos) -> ColdStartGate.UNLIMITED)
                        .configuration(() -> configuration)
                        .random(RandomSource.XO_RO_SHI_RO_128_PP.create(mSettings.seed() + index))
                        .settings(RoutingSettings.builder().style(mSettings.style()).build())
                        .build();
        router.setInstanceCount(ModelSettings.INSTANCES);
        router.configurationChanged(0);
        return new ModelInstance(mClock, router, mEndpoints, mResult, mSettings);
    }

    private void reportPeriodically(ModelEndpoint endpoint) {
        LoadReport report = endpoint.report(ModelSettings.REPORT_AGE_NANOS);
        mClock.scheduleAfter(
                ModelSettings.REPORT_AGE_NANOS,
                () -> mInstances.forEach(instance -> instance.applyLoadReport(endpoint, report)));
        mClock.scheduleAfter(ModelSettings.REPORT_PERIOD_NANOS, () -> reportPeriodically(endpoint));
    }

    private void submitNextArrival() {
        if (mClock.nowNanos() < ModelSettings.RUN_NANOS) {
            mInstances.get(mRandom.nextInt(ModelSettings.INSTANCES)).submit(request());
            mClock.scheduleAfter(
                    (long) (exponential() * 1e9 / mSettings.arrivalsPerSecond()),
                    this::submitNextArrival);
        }
    }

    private double exponential() {
        return -Math.log(1 - mRandom.nextDouble());
    }

    private ModelRequest request() {
        boolean isShort = mRandom.nextDouble() < SHORT_SHARE;
        double meanNanos = isShort ? SHORT_WORK_NANOS : LONG_WORK_NANOS;
        long workNanos = (long) (meanNanos * (0.5 + 0.5 * exponential()));
        long nowNanos = mClock.nowNanos();
        long deadlineNanos = nowNanos + (isShort ? SHORT_DEADLINE_NANOS : LONG_DEADLINE_NANOS);
        WaitingCall call =
                new WaitingCall(
                        new RequestId("r" + mRequests++),
                        new StageName("generate"),
                        POOL,
                        workspace(),
                        1,
                        (long) (deadlineNanos - 1.5 * meanNanos),
                        deadlineNanos,
                        (long) meanNanos);
        return new ModelRequest(call, workNanos, nowNanos);
    }

    private WorkspaceName workspace() {
        double drawn = mRandom.nextDouble();
        int index = 0;
        while (index < WORKSPACE_SHARES.length - 1 && drawn >= WORKSPACE_SHARES[index]) {
            drawn -= WORKSPACE_SHARES[index];
            index++;
        }
        return new WorkspaceName("workspace-" + index);
    }
}
