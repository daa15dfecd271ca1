package org.wasabilug.scenarios.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.DomainState;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.ObjectChange;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.Stage;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.ListedRole;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.fake.EndpointProfile;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.fake.FakeNetwork;
import org.wasabilug.scenarios.internal.fake.FakePlatform;
import org.wasabilug.scenarios.internal.fake.StageResults;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** Instances and endpoints of a deployment in virtual time. */
public final class Fleet {
    private static final long LIST_LAG_NANOS = 500 * VirtualClock.MILLISECOND_NANOS;
    private static final long MAX_CLOCK_OFFSET_NANOS = 1L << 50;
    private static final OperatorName OPERATOR = new OperatorName("anne");

    private final FleetShape mShape;
    private final CoreFactory mCores;
    private final UniformRandomProvider mRandom;
    private final VirtualClock mClock = new VirtualClock();
    private final History mHistory = new History(mClock);
    private final FakePlatform mPlatform = new FakePlatform(mClock, LIST_LAG_NANOS);
    private final FakeNetwork mNetwork = new FakeNetwork();
    private final Map<EndpointName, FakeEndpoint> mEndpoints = new LinkedHashMap<>();
    private final Map<InstanceName, InstanceProcess> mInstances = new LinkedHashMap<>();
    private final Map<EndpointName, Boolean> mLeavingEndpoints = new HashMap<>();
    private final FleetEnvironment mEnvironment;
    private long mLastIncarnation;
    private long mLastSubmission;
    private final Set<FailureDomainName> mDomainsOutOfService = new HashSet<>();
    private final Map<FailureDomainName, Long> mNewestDomainTickets = new HashMap<>();
    private long mLastTicket;

    /**
     * Creates the fleet; no instance runs before {@link #start()}.
     *
     * @param shape instances, endpoints and configuration
     * @param cores creates the decision cores
     * @param seed seed of clock offsets and of the decision cores
     */
    public Fleet(FleetShape shape, CoreFactory cores, long seed) {
        mShape = shape;
        mCores = cores;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (Endpoint endpoint : shape.endpoints()) {
            EndpointProfile profile = shape.profiles().get(endpoint.pool());
            mEndpoints.put(endpoint.name(), new FakeEndpoint(mClock, mHistory, endpoint, profile));
        }
        mEnvironment = new FleetEnvironment(mClock, mHistory, mPlatform, mNetwork, mEndpoints);
    }

    /** Starts all instances and applies the initial configuration through a first ticket. */
    public void start() {
        mShape.instances().forEach(this::startInstance);
        publishList();
        submitTicket(firstInstance(), mShape.objects());
        runMilliseconds(5_000);
    }

    /**
     * Starts a new process incarnation of an instance.
     *
     * @param name name of the instance
     * @param failureDomain failure domain of the instance
     */
    public void startInstance(InstanceName name, FailureDomainName failureDomain) {
        mLastIncarnation++;
        long incarnation = mLastIncarnation;
        long offset = mRandom.nextLong() % MAX_CLOCK_OFFSET_NANOS;
        InstanceProcess process =
                new InstanceProcess(
                        new InstanceProcess.ProcessIdentity(
                                name, failureDomain, incarnation, offset),
                        mEnvironment,
                        mCores.create(name, failureDomain, incarnation, mRandom.nextLong()),
                        mInstances::get);
        process.setTicketListener(this::ticketAnswered);
        mInstances.put(name, process);
        process.start();
        publishList();
    }

    private void ticketAnswered(long submission, TicketAnswer answer) {
        if (answer instanceof TicketAnswer.Accepted
                || answer instanceof TicketAnswer.AlreadyAccepted) {
            mHistory.add(new HistoryEvent.TicketAccepted(submission));
        } else {
            mHistory.add(new HistoryEvent.Disturbance("ticket " + submission + ": " + answer));
        }
    }

    private InstanceProcess firstInstance() {
        return mInstances.values().iterator().next();
    }

    /**
     * Kills the process of an instance. {@link #startInstance} starts a new incarnation.
     *
     * @param name name of the instance
     */
    public void kill(InstanceName name) {
        mHistory.add(new HistoryEvent.Died(name));
        instance(name).kill();
        publishList();
    }

    /**
     * Pauses or resumes a process. Events for a paused process are deferred.
     *
     * @param name name of the instance
     * @param paused true to pause it, false to resume it
     */
    public void setPaused(InstanceName name, boolean paused) {
        mHistory.add(new HistoryEvent.Isolated(name, paused));
        if (paused) {
            instance(name).pause();
        } else {
            instance(name).resume();
        }
    }

    /**
     * Begins a planned stop of an instance.
     *
     * @param name name of the instance
     */
    public void stop(InstanceName name) {
        instance(name).beginStop();
        publishList();
    }

    /**
     * Cuts or heals both directions of the link between two failure domains.
     *
     * @param one a failure domain
     * @param other another failure domain
     * @param cut true to cut the link, false to heal it
     */
    public void setCut(FailureDomainName one, FailureDomainName other, boolean cut) {
        mHistory.add(
                new HistoryEvent.Disturbance((cut ? "cut " : "healed ") + one + " from " + other));
        mNetwork.setCut(one, other, cut);
        mNetwork.setCut(other, one, cut);
    }

    /**
     * Marks an endpoint as leaving in the platform's list, which shows it after the list delay.
     *
     * @param name name of the endpoint
     */
    public void listAsLeaving(EndpointName name) {
        mLeavingEndpoints.put(name, true);
        publishList();
        mClock.after(
                mPlatform.listLagNanos(), () -> mHistory.add(new HistoryEvent.ListedLeaving(name)));
    }

    private void publishList() {
        List<ListedInstance> listed = new ArrayList<>();
        for (InstanceProcess process : mInstances.values()) {
            if (process.isAlive()) {
                listed.add(
                        new ListedInstance(
                                process.name().value(),
                                ListedRole.ENTRY,
                                process.failureDomain(),
                                "127.0.0.1:" + (1 + listed.size()),
                                false));
            }
        }
        for (FakeEndpoint endpoint : mEndpoints.values()) {
            listed.add(listedEndpoint(endpoint.configuration()));
        }
        mPlatform.publish(listed);
    }

    private ListedInstance listedEndpoint(Endpoint endpoint) {
        return new ListedInstance(
                endpoint.name().value(),
                ListedRole.ENDPOINT,
                endpoint.failureDomain(),
                endpoint.address().getAuthority(),
                mLeavingEndpoints.getOrDefault(endpoint.name(), false));
    }

    /**
     * Submits a ticket with the next number to an instance.
     *
     * @param process the instance
     * @param objects complete new states of the changed objects
     * @return number of the ticket
     */
    public long submitTicket(InstanceProcess process, List<ConfigurationObject> objects) {
        mLastTicket++;
        submitTicket(process, mLastTicket, objects);
        return mLastTicket;
    }

    /**
     * Returns the highest ticket number submitted so far.
     *
     * @return the number; 0 if no ticket was submitted
     */
    public long lastTicket() {
        return mLastTicket;
    }

    /**
     * Submits a ticket with a given number to an instance.
     *
     * @param process the instance
     * @param number number of the ticket
     * @param objects complete new states of the changed objects
     */
    public void submitTicket(
            InstanceProcess process, long number, List<ConfigurationObject> objects) {
        mLastTicket = Math.max(mLastTicket, number);
        List<ObjectChange> changes =
                objects.stream()
                        .map(object -> new ObjectChange(object.objectKey(), Optional.of(object)))
                        .toList();
        process.deliver(
                new InstanceEvent.TicketSubmitted(
                        number, new ChangeTicket(number, OPERATOR, changes)));
    }

    /**
     * Submits a ticket that takes a failure domain out of service or returns it to service.
     *
     * @param name name of the failure domain
     * @param out true to take it out of service, false to return it to service
     */
    public void setOutOfService(FailureDomainName name, boolean out) {
        FailureDomain domain =
                FailureDomain.builder()
                        .name(name)
                        .state(out ? DomainState.TAKEN_OUT : DomainState.IN_SERVICE)
                        .build();
        InstanceProcess ticketReceiver =
                mInstances.values().stream()
                        .filter(InstanceProcess::isAlive)
                        .findFirst()
                        .orElseThrow();
        long number = mLastTicket + 1;
        mNewestDomainTickets.put(name, number);
        boolean wasOut = mDomainsOutOfService.contains(name);
        ticketReceiver.setTicketListener(
                (submission, answer) -> {
                    ticketAnswered(submission, answer);
                    if (submission == number && mNewestDomainTickets.get(name) == number) {
                        recordDomainState(name, out, wasOut, answer);
                    }
                });
        if (!out) {
            // A return to service is active once committed, possibly long before the response
            // arrives.
            recordDomainState(name, false);
        }
        submitTicket(ticketReceiver, List.of(domain));
    }

    private void recordDomainState(
            FailureDomainName name, boolean out, boolean wasOut, TicketAnswer answer) {
        switch (answer) {
            case TicketAnswer.Accepted accepted -> recordDomainState(name, out);
            case TicketAnswer.AlreadyAccepted accepted -> recordDomainState(name, out);
            case TicketAnswer.Unknown unknown -> {
                // The ticket may still take effect, so the checkers must not require the domain to
                // be out.
                recordDomainState(name, false);
            }
            case TicketAnswer.Superseded superseded -> {
                // The response to the newer ticket determines the state.
            }
            default -> recordDomainState(name, wasOut);
        }
    }

    private void recordDomainState(FailureDomainName name, boolean out) {
        if (out ? mDomainsOutOfService.add(name) : mDomainsOutOfService.remove(name)) {
            mHistory.add(new HistoryEvent.DomainStateChanged(name, out));
        }
    }

    /**
     * Submits a request to an instance and records it in the history.
     *
     * @param name instance that receives the request
     * @param request the request
     */
    public void submit(InstanceName name, CallerRequest request) {
        mLastSubmission++;
        mHistory.add(
                new HistoryEvent.Submitted(
                        mLastSubmission,
                        request.id(),
                        name,
                        StageResults.answer(request.id(), request.pipeline(), this::profileOf),
                        mClock.nowNanos() + request.deadline().toNanos()));
        instance(name).submit(mLastSubmission, request);
    }

    private EndpointProfile profileOf(Stage stage) {
        return mShape.profiles().get(stage.pool());
    }

    /**
     * Advances virtual time and runs the steps that become due.
     *
     * @param milliseconds duration in virtual milliseconds
     */
    public void runMilliseconds(long milliseconds) {
        mClock.runUntil(mClock.nowNanos() + milliseconds * VirtualClock.MILLISECOND_NANOS);
    }

    /**
     * Returns the newest process incarnation of an instance.
     *
     * @param name name of the instance
     * @return the process, which may be dead; null for an unknown name
     */
    public InstanceProcess instance(InstanceName name) {
        return mInstances.get(name);
    }

    /**
     * Returns the newest process incarnations of all instances.
     *
     * @return the processes, including dead ones
     */
    public List<InstanceProcess> instances() {
        return List.copyOf(mInstances.values());
    }

    /**
     * Returns an endpoint.
     *
     * @param name name of the endpoint
     * @return the fake; null for an unknown name
     */
    public FakeEndpoint endpoint(EndpointName name) {
        return mEndpoints.get(name);
    }

    /**
     * Returns all endpoints.
     *
     * @return the fakes, in deployment order
     */
    public List<FakeEndpoint> endpoints() {
        return List.copyOf(mEndpoints.values());
    }

    /**
     * Returns the platform, for fault injection and request counts.
     *
     * @return the fake
     */
    public FakePlatform platform() {
        return mPlatform;
    }

    /**
     * Returns the network between failure domains.
     *
     * @return the fake
     */
    public FakeNetwork network() {
        return mNetwork;
    }

    /**
     * Returns the scheduler of virtual time.
     *
     * @return the clock
     */
    public VirtualClock clock() {
        return mClock;
    }

    /**
     * Returns the log of the run.
     *
     * @return the history
     */
    public History history() {
        return mHistory;
    }
}
