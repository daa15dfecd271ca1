package org.wasabilug.gateway.internal;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.wasabilug.gateway.FeatureSettings;
import org.wasabilug.gateway.GatewaySettings;
import org.wasabilug.gateway.internal.endpoint.EndpointConnections;
import org.wasabilug.gateway.internal.endpoint.ResponseMemory;
import org.wasabilug.gateway.internal.limit.ConnectionShares;
import org.wasabilug.gateway.internal.log.DecisionLog;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.protocol.WireProtocol;
import org.wasabilug.internal.hedge.HedgeControl;
import org.wasabilug.internal.serving.EndpointDirectory;
import org.wasabilug.internal.serving.EndpointSelector;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.PrefixCacheEstimator;
import org.wasabilug.internal.serving.RouteTable;
import org.wasabilug.internal.serving.ShutdownSchedule;
import org.wasabilug.internal.serving.SoftwareVersions;
import org.wasabilug.internal.serving.StageTimes;
import org.wasabilug.serving.CallerLimits;
import org.wasabilug.serving.PromptPart;
import org.wasabilug.serving.ServiceSpecification;

/** State and services shared by the parts of one gateway process; confined to its event loop. */
public final class GatewayState {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final int MISDIRECTED = 421;

    private final GatewaySettings mSettings;
    private final WireProtocol mProtocol;
    private final EventLoop mLoop;
    private final EndpointConnections mConnections;
    private final DecisionLog mLog;
    private final EndpointDirectory mDirectory = new EndpointDirectory();
    private final ReachabilityMonitor mReachability;
    private final ListeningWatch mListeningWatch = new ListeningWatch(this);
    private final StandstillMonitor mStandstills = new StandstillMonitor(clockMillis());
    private final StageTimes mStageTimes = new StageTimes();
    private final SoftwareVersions mSoftwareVersions = new SoftwareVersions();
    private final PrefixCacheEstimator mPrefixCaches = new PrefixCacheEstimator();
    private final RetryPermits mRetryPermits;
    private final RejectionMonitor mRejectionMonitor = new RejectionMonitor(this);
    private final LeaveMonitor mLeaveMonitor = new LeaveMonitor(this);
    private final PauseMonitor mPauseMonitor = new PauseMonitor(this);
    private final SpeedMonitor mSpeedMonitor = new SpeedMonitor(this);
    private final EndpointSelector mSelector;
    private final HedgeControl mHedging;
    private final Rollouts mRollouts = new Rollouts(this);
    private final ResponseMemory mResponseMemory = new ResponseMemory();
    private Supplier<Set<String>> mInstances;
    private Optional<ShutdownSchedule> mStop = Optional.empty();
    private ConfigurationInForce mConfiguration = ConfigurationInForce.none();
    private final List<PromptRead> mUnsentPrompts = new ArrayList<>();

    /**
     * Creates a state without configuration and endpoints.
     *
     * @param settings settings of the process
     * @param protocol names and formats of the deployment
     * @param loop the event loop
     * @param connections connections to endpoints
     * @param log the log
     */
    public GatewayState(
            GatewaySettings settings,
            WireProtocol protocol,
            EventLoop loop,
            EndpointConnections connections,
            DecisionLog log) {
        mSettings = settings;
        Set<String> alone = Set.of(settings.name());
        mInstances = () -> alone;
        mProtocol = protocol;
        mLoop = loop;
        mConnections = connections;
        mLog = log;
        mReachability = new ReachabilityMonitor(this, mDirectory, connections);
        connections.router(mReachability);
        mRetryPermits = new RetryPermits(this, settings.retryLimits());
        mHedging = new HedgeControl(settings.features().hedging());
        mSelector =
                new EndpointSelector(
                        settings.coldLimits(),
                        mRejectionMonitor.services(),
                        mPrefixCaches,
                        mSpeedMonitor.speeds());
    }

    /** Returns the time of the monotonic clock in milliseconds. */
    public static long clockMillis() {
        return System.nanoTime() / NANOS_PER_MILLISECOND;
    }

    /** Returns the time of the monotonic clock in milliseconds. */
    public long nowMillis() {
        return clockMillis();
    }

    /**
     * Starts the stop of this instance.
     *
     * @param schedule the phases of the stop
     */
    public void startStop(ShutdownSchedule schedule) {
        mStop = Optional.of(schedule);
    }

    /** Returns the schedule of a stop in progress; empty unless this instance is stopping. */
    public Optional<ShutdownSchedule> stop() {
        return mStop;
    }

    /** Returns the settings of the process. */
    public GatewaySettings settings() {
        return mSettings;
    }

    /** Returns how the descriptors of the machine are divided. */
    public ConnectionShares connectionShares() {
        FeatureSettings features = settings().features();
        return ConnectionShares.of(features.machine(), features.callers());
    }

    /**
     * Logs and counts that a limit on the connections of callers, peers or relays acted.
     *
     * @param limit name of the limit
     */
    public void callerLimited(String limit) {
        mLog.request(LogLine.of("caller-limited").with("limit", limit));
        mLog.count("caller-limited." + limit);
    }

    /** Returns the names and formats of the deployment. */
    public WireProtocol protocol() {
        return mProtocol;
    }

    /** Returns the event loop. */
    public EventLoop loop() {
        return mLoop;
    }

    /** Returns the connections to endpoints. */
    public EndpointConnections connections() {
        return mConnections;
    }

    /** Returns the limit of the memory that responses of endpoints take. */
    public ResponseMemory responseMemory() {
        return mResponseMemory;
    }

    /** Returns the log. */
    public DecisionLog log() {
        return mLog;
    }

    /** Returns the directory of known endpoints. */
    public EndpointDirectory directory() {
        return mDirectory;
    }

    /** Returns what permits retries within this instance's share of the fleet-wide limit. */
    public RetryPermits retryPermits() {
        return mRetryPermits;
    }

    /** Returns what decides which requests are hedged. */
    public HedgeControl hedging() {
        return mHedging;
    }

    /**
     * Returns the endpoints of a service that may receive requests and are reachable, if need be
     * through other instances.
     *
     * @param service name of the service
     * @return the endpoints in order of their names
     */
    public List<EndpointState> usable(String service) {
        return mDirectory.usable(service, mReachability::isReachable, mReachability::peerReaches);
    }

    /** Returns what notices that this process stood still. */
    public StandstillMonitor standstills() {
        return mStandstills;
    }

    /** Returns the watch of the ports of endpoints that leave. */
    public ListeningWatch listeningWatch() {
        return mListeningWatch;
    }

    /** Returns the monitor of the endpoints to which connections can be opened. */
    public ReachabilityMonitor reachability() {
        return mReachability;
    }

    /** Returns the monitor of endpoints that tolerate few rejections. */
    public RejectionMonitor rejectionMonitor() {
        return mRejectionMonitor;
    }

    /** Returns the monitor of endpoints that say in their answers that they leave. */
    public LeaveMonitor leaveMonitor() {
        return mLeaveMonitor;
    }

    /**
     * Records what the head of an endpoint's answer says about the endpoint.
     *
     * @param endpoint the endpoint
     * @param head the head
     */
    public void recordResponse(EndpointState endpoint, HttpResponse head) {
        mRejectionMonitor.recordResponse(endpoint, head);
        mLeaveMonitor.recordResponse(endpoint, head);
        mPauseMonitor.recordResponse(endpoint, head);
        mSpeedMonitor.recordResponse(endpoint, head);
    }

    /** Returns the monitor of the load and speed that endpoints state. */
    public SpeedMonitor speedMonitor() {
        return mSpeedMonitor;
    }

    /** Returns the software versions of the services' endpoints. */
    public SoftwareVersions softwareVersions() {
        return mSoftwareVersions;
    }

    /** Returns the rollouts of services' versions. */
    public Rollouts rollouts() {
        return mRollouts;
    }

    /** Returns the observed times of stages and requests. */
    public StageTimes stageTimes() {
        return mStageTimes;
    }

    /** Returns the estimate of the prompt prefixes that engines have cached. */
    public PrefixCacheEstimator prefixCaches() {
        return mPrefixCaches;
    }

    /**
     * Records a prompt that an engine reads, for this instance and for its peers.
     *
     * @param engine name of the engine
     * @param parts parts of the prompt
     * @param capacityTokens maximum number of tokens that the engine caches
     */
    public void promptSent(String engine, List<PromptPart> parts, long capacityTokens) {
        mPrefixCaches.recordPrompt(engine, parts, capacityTokens);
        mUnsentPrompts.add(new PromptRead(engine, parts));
    }

    /** Returns and clears the prompts that were not yet sent to peers. */
    public List<PromptRead> takeUnsentPrompts() {
        List<PromptRead> prompts = List.copyOf(mUnsentPrompts);
        mUnsentPrompts.clear();
        return prompts;
    }

    /**
     * A prompt that an engine reads.
     *
     * @param engine name of the engine
     * @param parts parts of the prompt
     */
    public record PromptRead(String engine, List<PromptPart> parts) {}

    /** Returns the selector of endpoints. */
    public EndpointSelector selector() {
        return mSelector;
    }

    /** Returns the index of the active configuration; empty before the first is loaded. */
    public Optional<RouteTable> routes() {
        return mConfiguration.routes();
    }

    /** Returns the version of the active configuration; empty before the first is loaded. */
    public Optional<Long> configurationVersion() {
        return routes().map(routes -> routes.configuration().version());
    }

    /** Returns the active configuration, from which later ones can be found. */
    public ConfigurationInForce configurationInForce() {
        return mConfiguration;
    }

    /**
     * Activates a configuration.
     *
     * @param routes its index
     */
    public void routes(RouteTable routes) {
        mConfiguration = mConfiguration.followedBy(routes);
    }

    /**
     * Returns a service of the active configuration.
     *
     * @param name name of the service
     * @return the service, or empty if it is not configured
     */
    public Optional<ServiceSpecification> service(String name) {
        return routes().flatMap(routes -> routes.findService(name));
    }

    /** Returns the limits for callers in the active configuration, or the defaults without one. */
    public CallerLimits callerLimits() {
        return routes().map(routes -> routes.configuration().limits()).orElse(CallerLimits.DEFAULT);
    }

    /**
     * Returns the number of instances that share fleet-wide limits, reachable or not; at least 1.
     */
    public int instances() {
        return Math.max(1, instanceNames().size());
    }

    /** Returns the names of these instances, the same set as long as it does not change. */
    public Set<String> instanceNames() {
        return mInstances.get();
    }

    /**
     * Called when the table of instances has the row of this one, so that the others that share
     * fleet-wide limits are known as well.
     *
     * @param startedBefore whether an earlier process of this instance may have used its shares
     */
    public void registered(boolean startedBefore) {
        mRetryPermits.registered(startedBefore);
        mRejectionMonitor.registered(startedBefore);
    }

    /**
     * Sets the source of the names of the instances.
     *
     * @param instances returns the names, the same set as long as it does not change
     */
    public void instances(Supplier<Set<String>> instances) {
        mInstances = instances;
    }

    /**
     * Returns whether a response states that its request did not run.
     *
     * @param head head of the response
     */
    public boolean notExecuted(HttpResponse head) {
        return head.status().code() == MISDIRECTED
                || head.headers().contains(mProtocol.headers().notExecuted());
    }
}
