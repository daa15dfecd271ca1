package org.wasabilug.gateway.internal.endpoint;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter.Relay;
import org.wasabilug.gateway.internal.relay.RelayConnector;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Pool of connections to endpoints; opens a new one if none is idle, through another instance where
 * this one does not reach the endpoint.
 */
public final class EndpointConnections {
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final long ENDS_KEPT_MILLIS = 1_000;

    /**
     * A non-repeatable request is sent only on a new connection or one that was idle for less than
     * this, because a connection that the endpoint closes meanwhile would leave the outcome
     * unknown.
     */
    private static final long NON_REPEATABLE_MAX_IDLE_MILLIS = 1_500;

    private final Bootstrap mBootstrap;
    private final String mRequestIdHeader;
    private final LongSupplier mClockMillis;
    private final RelayedConnections mRelays;
    private final Map<String, ArrayDeque<EndpointConnection>> mIdle = new HashMap<>();
    private final ConnectionEnds mEnds = new ConnectionEnds();
    private ConnectionRouter mRouter;
    private long mConnectionsOpened;

    /**
     * Creates an empty pool.
     *
     * @param loops event loop of all connections
     * @param requestIdHeader header that matches a response to its request
     * @param clockMillis monotonic clock in milliseconds
     * @param localName name of this instance
     */
    public EndpointConnections(
            EventLoopGroup loops,
            String requestIdHeader,
            LongSupplier clockMillis,
            String localName) {
        mRequestIdHeader = requestIdHeader;
        mClockMillis = clockMillis;
        mBootstrap =
                new Bootstrap()
                        .group(loops)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        KeepAlive.apply(mBootstrap::option);
        mRelays = new RelayedConnections(new RelayConnector(mBootstrap, localName));
    }

    /**
     * Sets the router; to be called before the first request.
     *
     * @param router decides how connections are opened
     */
    public void router(ConnectionRouter router) {
        mRouter = router;
        mRelays.router(router);
    }

    /**
     * Sends a request.
     *
     * @param endpoint endpoint to send to
     * @param request the request
     * @param listener receives the response
     * @return the call in progress
     */
    public EndpointCall send(
            EndpointRegistration endpoint, OutgoingRequest request, CallListener listener) {
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        request.headers().set(HttpHeaderNames.HOST, hostHeader(endpoint, request));
        EndpointCall call = new EndpointCall(request, listener);
        Iterator<Relay> relays = mRouter.relaysTo(EndpointGroup.of(endpoint)).iterator();
        EndpointConnection idle = takeIdle(endpoint.name(), request, relays.hasNext());
        if (idle != null) {
            idle.reuse(call);
        } else if (relays.hasNext()) {
            openRelayed(endpoint, call, relays);
        } else {
            open(endpoint, call);
        }
        return call;
    }

    /** Closes connections that were idle for too long; to be called about every second. */
    public void closeExpired() {
        long now = nowMillis();
        closeIdleIf(connection -> !usable(connection, now));
        mEnds.forgetBefore(now - ENDS_KEPT_MILLIS);
    }

    /**
     * Closes the idle direct connections to an endpoint, as they may be broken unnoticed.
     *
     * @param endpoint name of the endpoint
     */
    public void closeDirect(String endpoint) {
        closeIdleIf(each -> each.endpoint().equals(endpoint) && each.relay().isEmpty());
    }

    /**
     * Closes the idle connections to an endpoint, as a response may still be due on one of them.
     *
     * @param endpoint name of the endpoint
     */
    public void closeIdle(String endpoint) {
        closeIdleIf(each -> each.endpoint().equals(endpoint));
    }

    private void closeIdleIf(Predicate<EndpointConnection> condition) {
        for (ArrayDeque<EndpointConnection> idle : mIdle.values()) {
            Iterator<EndpointConnection> iterator = idle.iterator();
            while (iterator.hasNext()) {
                EndpointConnection connection = iterator.next();
                if (condition.test(connection)) {
                    iterator.remove();
                    connection.close();
                }
            }
        }
        mIdle.values().removeIf(ArrayDeque::isEmpty);
    }

    /** Returns a number for a new connection. */
    long nextNumber() {
        return ++mConnectionsOpened;
    }

    long nowMillis() {
        return mClockMillis.getAsLong();
    }

    void returnIdle(EndpointConnection connection) {
        mIdle.computeIfAbsent(connection.endpoint(), name -> new ArrayDeque<>())
                .addFirst(connection);
    }

    /**
     * Called when a connection has ended.
     *
     * @param byEndpoint whether the endpoint closed it, but not as the end of a response
     */
    void closed(EndpointConnection connection, boolean byEndpoint) {
        mEnds.closed(connection, byEndpoint, nowMillis());
        takeOut(connection);
    }

    /**
     * Called when the endpoint has ended a response with its connection, properly or not.
     *
     * @param rhythm when the content of the response arrived, and its end
     * @param proper whether the response may end with its connection
     */
    void responseEnded(EndpointConnection connection, ContentRhythm rhythm, boolean proper) {
        boolean direct = connection.relay().isEmpty();
        mEnds.responseEnded(connection.endpoint(), rhythm, direct, proper, nowMillis());
    }

    /** Makes sure that a connection carries no further call. */
    void takeOut(EndpointConnection connection) {
        ArrayDeque<EndpointConnection> idle = mIdle.get(connection.endpoint());
        if (idle != null) {
            idle.remove(connection);
        }
    }

    private static String hostHeader(EndpointRegistration endpoint, OutgoingRequest request) {
        String original = request.headers().get(HttpHeaderNames.HOST);
        return original == null ? endpoint.host() + ":" + endpoint.port() : original;
    }

    private EndpointConnection takeIdle(
            String endpoint, OutgoingRequest request, boolean relaying) {
        ArrayDeque<EndpointConnection> idle = mIdle.get(endpoint);
        while (idle != null && !idle.isEmpty()) {
            EndpointConnection connection = idle.removeFirst();
            if (mayCarry(connection, request, relaying)) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /**
     * Returns whether an idle connection may carry a request. A relayed one may not while the
     * endpoint is reached directly. A direct one to an endpoint that seems unreachable may be
     * broken. One that carried the id before could bring the earlier response a second time.
     */
    private boolean mayCarry(
            EndpointConnection connection, OutgoingRequest request, boolean relaying) {
        long now = nowMillis();
        boolean relayed = connection.relay().isPresent();
        boolean fresh = connection.idleMillis(now) < NON_REPEATABLE_MAX_IDLE_MILLIS;
        boolean sound = request.repeatable() || fresh && relayed == relaying;
        return usable(connection, now)
                && sound
                && (relaying || !relayed)
                && !connection.carried(request.id());
    }

    /** Returns whether an idle connection is open, and still the way to its endpoint if relayed. */
    private boolean usable(EndpointConnection connection, long now) {
        EndpointGroup group = connection.group();
        return connection.usable(now)
                && connection
                        .relay()
                        .map(each -> !mRouter.reaches(group) && mRouter.accepts(each, group))
                        .orElse(true);
    }

    private void open(EndpointRegistration endpoint, EndpointCall call) {
        connect(
                endpoint,
                (result, channel) -> {
                    if (result == ConnectionResult.OPENED) {
                        opened(endpoint, Optional.empty(), call, channel);
                    } else {
                        call.fail(failure(result));
                    }
                });
    }

    private static CallFailure failure(ConnectionResult result) {
        return result == ConnectionResult.SILENT ? CallFailure.SILENT : CallFailure.NOT_CONNECTED;
    }

    /**
     * Opens a direct connection without any handler.
     *
     * @param endpoint the endpoint
     * @param receiver receives the result, and the connection if there is one
     */
    public void connect(
            EndpointRegistration endpoint, BiConsumer<ConnectionResult, Channel> receiver) {
        mBootstrap
                .clone()
                .handler(new ChannelInboundHandlerAdapter())
                .connect(endpoint.host(), endpoint.port())
                .addListener(
                        (ChannelFuture future) -> {
                            ConnectionResult result = result(future);
                            mRouter.attempted(endpoint, result);
                            receiver.accept(result, future.channel());
                        });
    }

    private static ConnectionResult result(ChannelFuture future) {
        if (future.isSuccess()) {
            return ConnectionResult.OPENED;
        }
        return future.cause() instanceof ConnectTimeoutException
                ? ConnectionResult.SILENT
                : ConnectionResult.REFUSED;
    }

    private void openRelayed(
            EndpointRegistration endpoint, EndpointCall call, Iterator<Relay> relays) {
        mRelays.open(
                endpoint,
                call,
                relays,
                (relay, channel) -> opened(endpoint, Optional.of(relay), call, channel));
    }

    private void opened(
            EndpointRegistration endpoint,
            Optional<Relay> relay,
            EndpointCall call,
            Channel channel) {
        if (call.ended()) {
            channel.close();
            return;
        }
        EndpointConnection connection =
                new EndpointConnection(this, endpoint, relay, mRequestIdHeader);
        mEnds.opened(connection, channel, nowMillis());
        channel.pipeline()
                .addLast(new ReceivedBytesMeter(connection))
                .addLast(connection.decoder())
                .addLast(new HttpRequestEncoder())
                .addLast(connection);
        connection.send(call, channel);
    }

    /**
     * Returns whether an endpoint outlived a connection, as far as other connections tell.
     *
     * @param endpoint name of the endpoint
     * @param direct whether no other instance relayed the connection
     * @param endedMillis when the connection ended
     */
    public EndpointSurvival survival(String endpoint, boolean direct, long endedMillis) {
        return mEnds.survival(endpoint, direct, endedMillis);
    }

    /**
     * Returns whether other responses of an endpoint ended as those of a killed process do: at once
     * with this one, or soon before or after it between two contents.
     *
     * @param endpoint name of the endpoint
     * @param rhythm the response that has ended with its connection
     */
    public boolean othersEndedLikeKilled(String endpoint, ContentRhythm rhythm) {
        return mEnds.othersEndedLikeKilled(endpoint, rhythm);
    }

    /**
     * Returns whether an endpoint wrote content of another response after the end of one.
     *
     * @param endpoint name of the endpoint
     * @param direct whether no other instance relayed the connection
     * @param rhythm the response that has ended with its connection
     */
    public boolean wroteSince(String endpoint, boolean direct, ContentRhythm rhythm) {
        return mEnds.wroteSince(endpoint, direct, rhythm);
    }

    /**
     * Checks whether an endpoint accepts connections of this instance.
     *
     * @param endpoint the endpoint
     * @param receiver receives the result
     */
    public void probe(EndpointRegistration endpoint, Consumer<ConnectionResult> receiver) {
        connect(
                endpoint,
                (result, channel) -> {
                    channel.close();
                    receiver.accept(result);
                });
    }

    /**
     * Asks another instance whether an endpoint accepts its connections.
     *
     * @param endpoint the endpoint
     * @param receiver receives the result, or empty if no other instance can tell
     */
    public void askWitness(
            EndpointRegistration endpoint, Consumer<Optional<ConnectionResult>> receiver) {
        mRelays.askWitness(
                endpoint, mRouter.witnesses(EndpointGroup.of(endpoint)).iterator(), receiver);
    }
}
