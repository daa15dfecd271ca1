package org.wasabilug.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.ListenReporter;
import org.wasabilug.gateway.internal.caller.CallerListener;
import org.wasabilug.gateway.internal.endpoint.EndpointConnections;
import org.wasabilug.gateway.internal.explain.RequestExplainer;
import org.wasabilug.gateway.internal.fleet.ConfigurationWatch;
import org.wasabilug.gateway.internal.fleet.EndpointWatch;
import org.wasabilug.gateway.internal.fleet.InstanceRegistry;
import org.wasabilug.gateway.internal.fleet.MissedConfiguration;
import org.wasabilug.gateway.internal.fleet.RolloutWatch;
import org.wasabilug.gateway.internal.fleet.SoftwareVersionHistory;
import org.wasabilug.gateway.internal.fleet.SoftwareVersionRecorder;
import org.wasabilug.gateway.internal.fleet.SoftwareVersionTable;
import org.wasabilug.gateway.internal.fleet.StreamOriginRecorder;
import org.wasabilug.gateway.internal.fleet.StreamOriginTable;
import org.wasabilug.gateway.internal.log.DecisionLog;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.log.MetricsText;
import org.wasabilug.gateway.internal.peer.LiveRelayPeers;
import org.wasabilug.gateway.internal.peer.PeerEvents;
import org.wasabilug.gateway.internal.peer.PeerNetwork;
import org.wasabilug.gateway.internal.peer.SharedCrashSuspects;
import org.wasabilug.gateway.internal.peer.SharedLeaves;
import org.wasabilug.gateway.internal.peer.SharedRejections;
import org.wasabilug.gateway.internal.peer.SharedStageExecutor;
import org.wasabilug.gateway.internal.peer.SharedStreamOrigins;
import org.wasabilug.gateway.internal.peer.StoreRelay;
import org.wasabilug.gateway.internal.readiness.ReadinessServer;
import org.wasabilug.gateway.internal.relay.RelayListener;
import org.wasabilug.gateway.internal.request.RequestReceiver;
import org.wasabilug.gateway.internal.stage.LocalStageExecutor;
import org.wasabilug.gateway.internal.store.FollowedTable;
import org.wasabilug.gateway.internal.store.StoreAccess;
import org.wasabilug.gateway.internal.store.StoreEra;
import org.wasabilug.gateway.internal.store.TableEvents;
import org.wasabilug.gateway.internal.store.TableFollower;
import org.wasabilug.gateway.protocol.StoreProtocol;
import org.wasabilug.gateway.protocol.WireProtocol;
import org.wasabilug.internal.serving.ShutdownSchedule;
import org.wasabilug.internal.serving.StorePolling;
import org.wasabilug.messages.gateway.GatewayEnvelope;

/** One gateway process; all its parts run on one event loop. */
public final class Gateway implements AutoCloseable {
    private static final long HOUSEKEEPING_MILLIS = 250;

    /** What an endpoint writes last may follow soon after it has stopped listening. */
    private static final long LISTENING_PROBE_MILLIS = 10;

    private static final long LOOP_DELAY_TO_LOG_MILLIS = 100;
    private static final long CONFIGURATION_PAUSE_MILLIS = 20;
    private static final long ENDPOINT_WAIT_MILLIS = 1_000;
    private static final long INSTANCE_WAIT_MILLIS = 15_000;
    private static final long INSTANCE_PAUSE_MILLIS = 200;
    private static final int MAX_TRACKED_PRODUCERS = 5_000;
    private static final long CLOSE_QUIET_MILLIS = 20;
    private static final long CLOSE_MILLIS = 1_000;

    private final GatewaySettings mSettings;
    private final EventLoopGroup mLoops;
    private final GatewayState mState;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final CallerListener mCallers;
    private final ReadinessServer mReadiness;
    private final LocalStageExecutor mStages;
    private final SharedStageExecutor mSharedStages;
    private final PeerNetwork mNetwork;
    private final StreamOriginRecorder mStreamOriginRecorder;
    private final SharedStreamOrigins mStreamOrigins;
    private final SoftwareVersionRecorder mSoftwareVersions;
    private final SharedCrashSuspects mCrashSuspects;
    private final SharedRejections mRejections;
    private final SharedLeaves mLeaves;
    private final StoreRelay mStoreRelay;
    private final StoreAccess mStore;
    private final TableFollower mConfigurationFollower;
    private final MissedConfiguration mMissedConfiguration;
    private final RelayListener mRelays;
    private final EndpointWatch mEndpoints;
    private final ConfigurationWatch mConfiguration;
    private final RolloutWatch mRollouts;
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private long mHousekeepingDueMillis = Long.MAX_VALUE;

    /**
     * Creates a gateway that is not running yet.
     *
     * @param settings settings of the process
     * @param protocol names and formats of its deployment
     */
    public Gateway(GatewaySettings settings, WireProtocol protocol) {
        mSettings = settings;
        mLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = mLoops.next();
        EndpointConnections connections =
                new EndpointConnections(
                        mLoops,
                        protocol.headers().requestId(),
                        GatewayState::clockMillis,
                        settings.name());
        DecisionLog log = new DecisionLog(mMetrics, GatewayState::clockMillis);
        mState = new GatewayState(settings, protocol, loop, connections, log);
        mStages = new LocalStageExecutor(mState);
        mEndpoints = new EndpointWatch(mState);
        mConfiguration = new ConfigurationWatch(mState);
        mNetwork = peerNetwork();
        mState.instances(mNetwork::names);
        mState.reachability().peers(new LiveRelayPeers(mState, mNetwork));
        mRelays = new RelayListener(mState, mLoops);
        mSharedStages = new SharedStageExecutor(mState, mNetwork, mStages);
        mStore = new StoreAccess(mLoops, settings.store(), protocol.store(), new StoreEra());
        mStore.era().addListener(this::storeCameBackOlder);
        mStoreRelay =
                new StoreRelay(mState, mNetwork, mStore.era(), () -> !mEndpoints.storeReachable());
        mRollouts = new RolloutWatch(mState, mConfiguration, mStore, mNetwork::live);
        mConfigurationFollower = configurationFollower(protocol.store().configurationTable());
        mMissedConfiguration = new MissedConfiguration(mState, mConfigurationFollower::readAnew);
        SoftwareVersionTable versions = new SoftwareVersionTable(mState, mStore);
        mStreamOriginRecorder = streamOriginRecorder();
        mStreamOrigins =
                new SharedStreamOrigins(
                        mState,
                        mNetwork,
                        new SoftwareVersionHistory(mState, versions),
                        mStreamOriginRecorder);
        mSoftwareVersions = softwareVersionRecorder(versions);
        mCrashSuspects = new SharedCrashSuspects(mState, mNetwork);
        mRejections = new SharedRejections(mState, mNetwork);
        mLeaves = new SharedLeaves(mState, mNetwork);
        RequestReceiver receiver =
                new RequestReceiver(mState, mSharedStages, mStreamOrigins, mCrashSuspects);
        mCallers = callerListener(receiver);
        mReadiness =
                new ReadinessServer(
                        protocol.readinessPath(),
                        this::ready,
                        this::metricsText,
                        new RequestExplainer(mState)::explain,
                        readinessLimits());
    }

    private StreamOriginRecorder streamOriginRecorder() {
        return new StreamOriginRecorder(
                mState,
                new StreamOriginTable(mState, mStore),
                mNetwork::reachable,
                mEndpoints::storeReachable);
    }

    private SoftwareVersionRecorder softwareVersionRecorder(SoftwareVersionTable versions) {
        return new SoftwareVersionRecorder(
                mState, versions, mNetwork::live, mEndpoints::storeReachable);
    }

    private CallerListener callerListener(RequestReceiver receiver) {
        return new CallerListener(
                mLoops,
                mState::callerLimits,
                GatewayState::clockMillis,
                receiver,
                mSettings.features().callers(),
                mState.connectionShares().callers());
    }

    private ReadinessServer.Limits readinessLimits() {
        return new ReadinessServer.Limits(
                mState.connectionShares().readiness(),
                () -> mState.callerLimits().idleMillis(),
                GatewayState::clockMillis,
                () -> mState.callerLimited("readiness"));
    }

    private String metricsText() {
        mState.log().level("retries-waiting", mState.retryPermits().reserved());
        return MetricsText.of(mMetrics);
    }

    private PeerNetwork peerNetwork() {
        return new PeerNetwork(
                mState,
                mLoops,
                new PeerMessages(),
                () -> mState.stop().isPresent(),
                () -> !mEndpoints.storeReachable(),
                mStages::predictWaits);
    }

    /**
     * Starts to serve.
     *
     * @throws org.wasabilug.error.WasabilugException if an address can't be bound; the gateway is
     *     to be closed then
     * @throws InterruptedException if interrupted while binding
     */
    public void start() throws InterruptedException {
        mState.log()
                .process(
                        LogLine.of("started")
                                .with("instance", mSettings.name())
                                .with("domain", mSettings.failureDomain())
                                .with("callers", mSettings.callers().toString())
                                .with("store", mSettings.store().toString()));
        listen("callers", mSettings.callers(), mCallers::listen);
        listen("readiness", mSettings.readiness(), address -> mReadiness.listen(mLoops, address));
        listen("peers", mSettings.peers(), address -> mNetwork.start());
        listen("relays", mSettings.relays(), mRelays::listen);
        mState.loop().execute(this::follow);
        mState.loop()
                .scheduleAtFixedRate(
                        this::runHousekeeping,
                        HOUSEKEEPING_MILLIS,
                        HOUSEKEEPING_MILLIS,
                        TimeUnit.MILLISECONDS);
        mState.loop()
                .scheduleAtFixedRate(
                        mState.listeningWatch()::probe,
                        LISTENING_PROBE_MILLIS,
                        LISTENING_PROBE_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Something that listens at an address. */
    private interface Listening {
        void at(InetSocketAddress address) throws IOException, InterruptedException;
    }

    private static void listen(String use, InetSocketAddress address, Listening listening)
            throws InterruptedException {
        try {
            listening.at(address);
        } catch (IOException failure) {
            throw ListenReporter.cannotListen(use, address, failure);
        }
    }

    private void follow() {
        StoreProtocol store = mState.protocol().store();
        mConfigurationFollower.start();
        follow(
                new FollowedTable(
                        store.endpointTable(),
                        () -> ENDPOINT_WAIT_MILLIS,
                        () -> StorePolling.pauseMillis(mNetwork.instances())),
                mStoreRelay.relay(store.endpointTable(), mEndpoints));
        follow(
                new FollowedTable(
                        InstanceRegistry.TABLE,
                        () -> INSTANCE_WAIT_MILLIS,
                        () -> INSTANCE_PAUSE_MILLIS),
                new InstanceRegistry(mState, mStore, mNetwork));
    }

    private void follow(FollowedTable table, TableEvents events) {
        new TableFollower(mStore, table, events).start();
    }

    private TableFollower configurationFollower(String table) {
        return new TableFollower(
                mStore,
                new FollowedTable(
                        table,
                        () -> StorePolling.waitMillis(mNetwork.instances()),
                        () -> CONFIGURATION_PAUSE_MILLIS),
                mStoreRelay.relay(table, mRollouts));
    }

    private void storeCameBackOlder(long before, long era) {
        mState.log()
                .process(
                        LogLine.of("store-came-back-older")
                                .with("era", era)
                                .with("before", before)
                                .with("endpoints", mState.directory().all().size()));
        mEndpoints.storeCameBackOlder();
        mConfiguration.storeCameBackOlder();
        mRollouts.storeCameBackOlder();
        mSoftwareVersions.storeCameBackOlder();
    }

    private boolean ready() {
        return mState.stop().isEmpty()
                && mState.routes().isPresent()
                && !mState.directory().all().isEmpty();
    }

    private void runHousekeeping() {
        logLoopDelay();
        mState.standstills().runs(mState.nowMillis());
        mEndpoints.removeExpired();
        mConfiguration.removeExpired();
        mCallers.enforceTimeouts();
        mReadiness.closeUnused();
        mState.connections().closeExpired();
        mStages.evictExpired();
        mSharedStages.evictProducers(MAX_TRACKED_PRODUCERS);
        mStreamOrigins.removeExpired();
        mStreamOriginRecorder.recordStreams();
        mSoftwareVersions.recordChanges();
        mRollouts.advance();
        mCrashSuspects.removeExpired();
        mStoreRelay.relayChanges();
        mState.reachability().probe();
        mState.stop().ifPresent(this::continueStop);
    }

    /** Logs when the event loop runs late, which delays every request of this instance. */
    private void logLoopDelay() {
        long now = mState.nowMillis();
        long delay = now - mHousekeepingDueMillis;
        mHousekeepingDueMillis = now + HOUSEKEEPING_MILLIS;
        if (delay > LOOP_DELAY_TO_LOG_MILLIS) {
            mState.log().process(LogLine.of("event-loop-delayed").with("millis", delay));
        }
    }

    /**
     * Stops gracefully: completes accepted requests. Returns when the stop is complete or timed
     * out.
     */
    public void stop() {
        mState.loop().execute(this::startStop);
        try {
            boolean done = mStopped.await(mSettings.stopMillis(), TimeUnit.MILLISECONDS);
            mState.log().process(LogLine.of("stopped").with("complete", done));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Ends all connections and threads at once; to be called after {@link #stop()} if the process
     * goes on.
     */
    @Override
    public void close() {
        if (!mLoops.isShuttingDown()) {
            mState.loop().execute(this::endLoops);
        }
        mLoops.terminationFuture().awaitUninterruptibly();
    }

    /** A loop without a quiet period may end before it has closed its connections. */
    private void endLoops() {
        mLoops.shutdownGracefully(CLOSE_QUIET_MILLIS, CLOSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void startStop() {
        if (mState.stop().isEmpty()) {
            mState.startStop(new ShutdownSchedule(mState.nowMillis(), mSettings.stopMillis()));
            mCallers.startStopping();
            mState.log()
                    .process(LogLine.of("stopping").with("connections", mCallers.connections()));
        }
    }

    private void continueStop(ShutdownSchedule stop) {
        long now = mState.nowMillis();
        if (!stop.leftRotation(now)) {
            return;
        }
        mCallers.close();
        mCallers.closeIdle();
        boolean done = mCallers.connections() == 0 && mStages.idle() && mRelays.connections() == 0;
        if (done || stop.mustCancelRequests(now)) {
            mCallers.endRequests();
            mReadiness.close();
            mRelays.close();
            mNetwork.close();
            mStopped.countDown();
        }
    }

    /**
     * Logs that the settings file was reread. A running process keeps its settings until a restart.
     */
    public void settingsRead() {
        mState.log().process(LogLine.of("settings-read"));
    }

    /** Dispatches messages of peers. */
    private final class PeerMessages implements PeerEvents {
        @Override
        public void received(GatewayEnvelope envelope) {
            String peer = envelope.getSender();
            switch (envelope.getBodyCase()) {
                case PIECE_ORDERS -> mSharedStages.ordersReceived(peer, envelope.getPieceOrders());
                case PIECE_RESULTS ->
                        mSharedStages.resultsReceived(peer, envelope.getPieceResults());
                case PIECE_CANCELLATION ->
                        mSharedStages.cancellationReceived(envelope.getPieceCancellation());
                case RESULT_RELEASE -> mSharedStages.releaseReceived(envelope.getResultRelease());
                case CRASH_REPORT -> mCrashSuspects.reportReceived(peer, envelope.getCrashReport());
                case CRASH_ACQUITTAL ->
                        mCrashSuspects.acquittalReceived(peer, envelope.getCrashAcquittal());
                case STREAM_ORIGIN_REPORT ->
                        mStreamOrigins.reportReceived(envelope.getStreamOriginReport());
                case STREAM_ORIGIN_QUERY ->
                        mStreamOrigins.queryReceived(peer, envelope.getStreamOriginQuery());
                case STREAM_ORIGIN_REPLY ->
                        mStreamOrigins.replyReceived(peer, envelope.getStreamOriginReply());
                case ENDPOINT_REJECTION ->
                        mRejections.reportReceived(peer, envelope.getEndpointRejection());
                case ENDPOINT_LEAVE -> mLeaves.reportReceived(peer, envelope.getEndpointLeave());
                case TABLE_ROWS -> mStoreRelay.received(envelope.getTableRows());
                default ->
                        mState.log()
                                .process(
                                        LogLine.of("message-ignored")
                                                .with("sender", peer)
                                                .with("body", envelope.getBodyCase().name()));
            }
        }

        @Override
        public void live(String name) {
            mCrashSuspects.peerLive(name);
        }

        @Override
        public void lost(String name) {
            mSharedStages.peerLost(name);
        }

        @Override
        public void configurationActive(String name, long version) {
            mMissedConfiguration.heard(name, version);
        }
    }
}
