package org.wasabilug.gateway.internal.relay;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter;
import org.wasabilug.gateway.internal.endpoint.EndpointCall;
import org.wasabilug.gateway.internal.endpoint.EndpointConnections;
import org.wasabilug.gateway.internal.endpoint.OutgoingRequest;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.serving.EndpointRegistration;

/** The endpoint connections of an instance whose ways to endpoints a test decides. */
final class AskingInstance implements ConnectionRouter, AutoCloseable {
    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EndpointConnections mConnections =
            new EndpointConnections(mLoops, "Id", GatewayState::clockMillis, "asking");
    private final List<String> mRelayed = new CopyOnWriteArrayList<>();
    private final List<ConnectionResult> mAttempts = new CopyOnWriteArrayList<>();
    private volatile List<Relay> mRelays;
    private volatile List<String> mAccepting = List.of();

    AskingInstance(RelayInstance... relays) {
        mConnections.router(this);
        relayThrough(Arrays.stream(relays).map(RelayInstance::relay).toArray(Relay[]::new));
    }

    /** Opens connections through these instances from now on; directly if there is none. */
    void relayThrough(Relay... relays) {
        mRelays = List.of(relays);
        List<String> accepting = new ArrayList<>(mAccepting);
        mRelays.forEach(each -> accepting.add(each.instance()));
        mAccepting = accepting;
    }

    /** Lets an instance accept no more work. */
    void stopped(RelayInstance relay) {
        mAccepting =
                mAccepting.stream().filter(each -> !each.equals(relay.relay().instance())).toList();
    }

    RecordedAnswer send(EndpointRegistration endpoint) {
        return send(endpoint, "id", false, new byte[0]);
    }

    RecordedAnswer send(EndpointRegistration endpoint, String id, boolean repeatable, byte[] body) {
        RecordedAnswer answer = new RecordedAnswer();
        OutgoingRequest request =
                new OutgoingRequest(
                        id, HttpMethod.POST, "/", new DefaultHttpHeaders(), body, repeatable);
        run(() -> answer.call(mConnections.send(endpoint, request, answer)));
        return answer;
    }

    /** Asks the relays whether an endpoint accepts their connections. */
    CompletableFuture<Optional<ConnectionResult>> askWitness(EndpointRegistration endpoint) {
        CompletableFuture<Optional<ConnectionResult>> answer = new CompletableFuture<>();
        run(() -> mConnections.askWitness(endpoint, answer::complete));
        return answer;
    }

    void cancel(RecordedAnswer answer) {
        run(() -> answer.call().cancel());
    }

    void setReadable(RecordedAnswer answer, boolean readable) {
        EndpointCall call = answer.call();
        run(() -> call.setReadable(readable));
    }

    void closeExpired() {
        run(mConnections::closeExpired);
    }

    /** Returns what became of each attempt to open a relayed connection: instance and result. */
    List<String> relayed() {
        return mRelayed;
    }

    /** Returns the results of the attempts to open direct connections. */
    List<ConnectionResult> attempts() {
        return mAttempts;
    }

    private void run(Runnable action) {
        mLoops.submit(action).syncUninterruptibly();
    }

    @Override
    public boolean reaches(EndpointGroup group) {
        return mRelays.isEmpty();
    }

    @Override
    public List<Relay> relaysTo(EndpointGroup group) {
        return mRelays;
    }

    @Override
    public List<Relay> witnesses(EndpointGroup group) {
        return mRelays;
    }

    @Override
    public boolean accepts(Relay relay, EndpointGroup group) {
        return mAccepting.contains(relay.instance());
    }

    @Override
    public void attempted(EndpointRegistration endpoint, ConnectionResult result) {
        mAttempts.add(result);
    }

    @Override
    public void relayLate(Relay relay) {
        mRelayed.add(relay.instance() + " late");
    }

    @Override
    public void relayed(
            Relay relay, EndpointRegistration endpoint, String request, RelayReply.Status result) {
        mRelayed.add(relay.instance() + " " + result);
    }

    @Override
    public void close() {
        mLoops.shutdownGracefully();
    }
}
