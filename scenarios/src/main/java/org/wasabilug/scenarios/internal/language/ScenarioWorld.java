package org.wasabilug.scenarios.internal.language;

import java.util.List;
import org.wasabilug.internal.instance.InstanceCore;
import org.wasabilug.internal.instance.InstanceSettings;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.PipelineName;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.fleet.CoreFactory;
import org.wasabilug.scenarios.internal.fleet.Fleet;
import org.wasabilug.scenarios.internal.fleet.FleetShape;
import org.wasabilug.scenarios.internal.fleet.InstanceProcess;

/** Deployment and state of one scenario. */
public final class ScenarioWorld {
    /** Creates decision cores with default settings, as an entry instance does. */
    public static final CoreFactory CORES =
            (name, domain, incarnation, seed) ->
                    new InstanceCore(
                            InstanceSettings.builder()
                                    .name(name)
                                    .failureDomain(domain)
                                    .incarnation(incarnation)
                                    .seed(seed)
                                    .build());

    private final FleetShape mShape;
    private final Fleet mFleet;
    private final ActiveFailures mActiveFailures;
    private long mLastRequest;
    private int mLastInstance;

    /**
     * Creates and starts a deployment.
     *
     * @param shape the deployment
     * @param cores creates the decision cores
     * @param seed random seed of the fleet
     */
    public ScenarioWorld(FleetShape shape, CoreFactory cores, long seed) {
        mShape = shape;
        mFleet = new Fleet(shape, cores, seed);
        mActiveFailures = new ActiveFailures(mFleet);
        mFleet.start();
    }

    /**
     * Returns the shape of the deployment.
     *
     * @return instances, endpoints and initial configuration
     */
    public FleetShape shape() {
        return mShape;
    }

    /**
     * Returns the running deployment.
     *
     * @return the fleet
     */
    public Fleet fleet() {
        return mFleet;
    }

    ActiveFailures activeFailures() {
        return mActiveFailures;
    }

    FailureDomainName domain(String name) {
        FailureDomainName domain = new FailureDomainName(name);
        if (!mShape.instances().containsValue(domain)) {
            throw LanguageReporter.unknown("failure domain", name, mShape.instances().values());
        }
        return domain;
    }

    InstanceName instance(String name) {
        InstanceName instance = new InstanceName(name);
        if (!mShape.instances().containsKey(instance)) {
            throw LanguageReporter.unknown("instance", name, mShape.instances().keySet());
        }
        return instance;
    }

    FakeEndpoint endpoint(String name) {
        FakeEndpoint endpoint = mFleet.endpoint(new EndpointName(name));
        if (endpoint == null) {
            List<EndpointName> known =
                    mShape.endpoints().stream().map(each -> each.name()).toList();
            throw LanguageReporter.unknown("endpoint", name, known);
        }
        return endpoint;
    }

    /** Creates a request with unique content. */
    CallerRequest newRequest(PipelineName pipeline) {
        return newRequest(pipeline, "cold room " + (mLastRequest + 1));
    }

    CallerRequest newRequest(PipelineName pipeline, String body) {
        mLastRequest++;
        return mShape.request(
                "r" + mLastRequest,
                pipeline,
                (int) mLastRequest,
                body,
                pipeline.equals(FleetShape.TRANSFERS));
    }

    /**
     * Submits to live instances in round-robin order, as a load balancer does that detects dead
     * instances but not paused ones.
     */
    void submit(CallerRequest request) {
        List<InstanceProcess> alive =
                mFleet.instances().stream().filter(InstanceProcess::isAlive).toList();
        if (!alive.isEmpty()) {
            mLastInstance++;
            mFleet.submit(alive.get(mLastInstance % alive.size()).name(), request);
        }
    }

    void afterMilliseconds(long milliseconds, Runnable step) {
        mFleet.clock().after(milliseconds * VirtualClock.MILLISECOND_NANOS, step);
    }
}
