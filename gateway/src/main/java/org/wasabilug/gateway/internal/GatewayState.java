package org.wasabilug.gateway.internal;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import org.wasabilug.gateway.GatewaySettings;
import org.wasabilug.gateway.internal.endpoint.EndpointConnections;
import org.wasabilug.gateway.internal.log.DecisionLog;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.protocol.WireProtocol;
import org.wasabilug.internal.serving.CrashRegister;
import org.wasabilug.internal.serving.EndpointDirectory;
import org.wasabilug.internal.serving.EndpointSelector;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.PrefixCacheEstimator;
import org.wasabilug.internal.serving.RetryBudget;
import org.wasabilug.internal.serving.RouteTable;
import org.wasabilug.internal.serving.ShutdownSchedule;
import org.wasabilug.internal.serving.StageTimes;
import org.wasabilug.serving.CallerLimits;
import org.wasabilug.serving.PromptPart;
import org.wasabilug.serving.ServiceSpecification;

/** What one gateway process knows and uses; owned by its event loop. */
public final class GatewayState {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final int MISDIRECTED = 421;

    private final GatewaySettings mSettings;
    private final WireProtocol mProtocol;
    private final EventLoop mLoop;
    private final EndpointConnections mConnections;
    private final DecisionLog mLog;
    private final EndpointDirectory mDirectory = new EndpointDirectory();
    private final DomainMonitor mDomainMonitor;
    private final CrashRegister mCrashes = new CrashRegister();
    private final StageTimes mStageTimes = new StageTimes();
    private final PrefixCacheEstimator mPrefixes = new PrefixCacheEstimator();
    private final RetryBudget mRetries;
    private final EndpointSelector mSelector;
    private IntSupplier mInstances = () -> 1;
    private BiConsumer<Long, String> mCrashNotifier = (fingerprint, endpoint) -> {};
    private Optional<ShutdownSchedule> mStop = Optional.empty();
    private RouteTable mRoutes;
    private final List<PromptRead> mUnsentPrompts = new ArrayList<>();

    /**
     * Makes a state that knows no configuration and no endpoint.
     *
     * @param settings settings of the process
     * @param protocol names and formats
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
        mProtocol = protocol;
        mLoop = loop;
        mConnections = connections;
        mLog = log;
        mDomainMonitor = new DomainMonitor(mDirectory, connections, log);
        mRetries = new RetryBudget(settings.retryLimits());
        mSelector = new EndpointSelector(settings.coldLimits(), mPrefixes);
    }

    /**
     * Gives the time of the monotonic clock.
     *
     * @return milliseconds
     */
    public static long clockMillis() {
        return System.nanoTime() / NANOS_PER_MILLISECOND;
    }

    /**
     * Gives the time of the monotonic clock.
     *
     * @return milliseconds
     */
    public long nowMillis() {
        return clockMillis();
    }

    /**
     * Notes that this instance stops.
     *
     * @param schedule what happens when
     */
    public void startStop(ShutdownSchedule schedule) {
        mStop = Optional.of(schedule);
    }

    /**
     * Gives the schedule of a stop that has begun.
     *
     * @return the schedule, empty while this instance does not stop
     */
    public Optional<ShutdownSchedule> stop() {
        return mStop;
    }

    /**
     * Gives the settings.
     *
     * @return the settings
     */
    public GatewaySettings settings() {
        return mSettings;
    }

    /**
     * Gives names and formats.
     *
     * @return the protocol
     */
    public WireProtocol protocol() {
        return mProtocol;
    }

    /**
     * Gives the event loop.
     *
     * @return the loop
     */
    public EventLoop loop() {
        return mLoop;
    }

    /**
     * Gives the connections to endpoints.
     *
     * @return the connections
     */
    public EndpointConnections connections() {
        return mConnections;
    }

    /**
     * Gives the log.
     *
     * @return the log
     */
    public DecisionLog log() {
        return mLog;
    }

    /**
     * Gives the known endpoints.
     *
     * @return the directory
     */
    public EndpointDirectory directory() {
        return mDirectory;
    }

    /**
     * Gives this instance's part of the common limit of retries.
     *
     * @return the allowance
     */
    public RetryBudget retries() {
        return mRetries;
    }

    /**
     * Lists the endpoints of a service that may get requests and can be reached.
     *
     * @param service name of the service
     * @return in order of their names
     */
    public List<EndpointState> usable(String service) {
        return mDirectory.usable(service, mDomainMonitor.reachability());
    }

    /**
     * Gives what is known of failure domains that are cut off.
     *
     * @return the domains
     */
    public DomainMonitor domainMonitor() {
        return mDomainMonitor;
    }

    /**
     * Gives the contents that crash endpoints.
     *
     * @return the register
     */
    public CrashRegister crashes() {
        return mCrashes;
    }

    /**
     * Notes that an endpoint crashed while a content ran on it, and tells peers.
     *
     * @param fingerprint hash of the content
     * @param endpoint name of the endpoint
     */
    public void crashed(long fingerprint, String endpoint) {
        if (mCrashes.recordCrash(fingerprint, endpoint)) {
            mLog.process(
                    LogLine.of("endpoint-crashed")
                            .with("endpoint", endpoint)
                            .with("content", Long.toHexString(fingerprint))
                            .with("taken_for_cause", mCrashes.causesCrashes(fingerprint)));
            mCrashNotifier.accept(fingerprint, endpoint);
        }
    }

    /**
     * Sets how peers are told of crashes.
     *
     * @param teller gets the hash of the content and the name of the endpoint
     */
    public void crashNotifier(BiConsumer<Long, String> teller) {
        mCrashNotifier = teller;
    }

    /**
     * Gives how long the steps of requests take.
     *
     * @return what was learned
     */
    public StageTimes stageTimes() {
        return mStageTimes;
    }

    /**
     * Gives what engines keep of prompts.
     *
     * @return the estimate
     */
    public PrefixCacheEstimator prefixes() {
        return mPrefixes;
    }

    /**
     * Notes a request that reads its prompt at an engine, for this instance and for its peers.
     *
     * @param engine name of the engine
     * @param parts parts of the prompt
     * @param capacityTokens tokens that the engine keeps at most
     */
    public void promptSent(String engine, List<PromptPart> parts, long capacityTokens) {
        mPrefixes.recordPrompt(engine, parts, capacityTokens);
        mUnsentPrompts.add(new PromptRead(engine, parts));
    }

    /**
     * Takes the prompts of which peers were not told.
     *
     * @return the prompts
     */
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

    /**
     * Gives the chooser of endpoints.
     *
     * @return the selector
     */
    public EndpointSelector selector() {
        return mSelector;
    }

    /**
     * Gives the configuration in force.
     *
     * @return its index, or empty before the first is known
     */
    public Optional<RouteTable> routes() {
        return Optional.ofNullable(mRoutes);
    }

    /**
     * Puts a configuration in force.
     *
     * @param routes its index
     */
    public void routes(RouteTable routes) {
        mRoutes = routes;
    }

    /**
     * Finds a service of the configuration in force.
     *
     * @param name its name
     * @return the service, or empty
     */
    public Optional<ServiceSpecification> service(String name) {
        return routes().flatMap(routes -> routes.service(name));
    }

    /**
     * Gives the bounds of what callers may send.
     *
     * @return those of the configuration in force
     */
    public CallerLimits callerLimits() {
        return routes().map(routes -> routes.configuration().limits()).orElse(CallerLimits.DEFAULT);
    }

    /**
     * Counts the instances that may share a limit, heard or not.
     *
     * @return at least 1
     */
    public int instances() {
        return Math.max(1, mInstances.getAsInt());
    }

    /**
     * Sets how instances are counted.
     *
     * @param instances the counter
     */
    public void instances(IntSupplier instances) {
        mInstances = instances;
    }

    /**
     * Tells whether an answer says that its request did not run.
     *
     * @param head the answer's head
     * @return true where it surely did not run
     */
    public boolean notExecuted(HttpResponse head) {
        return head.status().code() == MISDIRECTED
                || head.headers().contains(mProtocol.headers().notExecuted());
    }
}
