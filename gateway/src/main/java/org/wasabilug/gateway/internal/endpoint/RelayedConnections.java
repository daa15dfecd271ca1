package org.wasabilug.gateway.internal.endpoint;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter.Relay;
import org.wasabilug.gateway.internal.relay.RelayConnector;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.serving.EndpointRegistration;

/** Opens connections through one relay after another until one can tell how it ended. */
final class RelayedConnections {
    private static final String NO_REQUEST = "";

    private final RelayConnector mConnector;
    private ConnectionRouter mRouter;

    RelayedConnections(RelayConnector connector) {
        mConnector = connector;
    }

    void router(ConnectionRouter router) {
        mRouter = router;
    }

    /** Opens a connection for a call, and fails the call if no relay can. */
    void open(
            EndpointRegistration endpoint,
            EndpointCall call,
            Iterator<Relay> relays,
            BiConsumer<Relay, Channel> receiver) {
        if (call.ended()) {
            return;
        }
        if (!relays.hasNext()) {
            call.fail(CallFailure.NOT_RELAYED);
            return;
        }
        Relay relay = relays.next();
        String request = call.request().id();
        mConnector.open(
                relay,
                endpoint,
                request,
                new RelayConnector.Receiver() {
                    @Override
                    public void opened(Channel channel) {
                        mRouter.relayed(relay, endpoint, request, RelayReply.Status.OPENED);
                        receiver.accept(relay, channel);
                    }

                    @Override
                    public void failed(RelayReply.Status status) {
                        mRouter.relayed(relay, endpoint, request, status);
                        switch (status) {
                            case REFUSED -> call.fail(CallFailure.NOT_CONNECTED);
                            case SILENT -> call.fail(CallFailure.SILENT);
                            default -> open(endpoint, call, relays, receiver);
                        }
                    }
                });
    }

    /** Asks whether an endpoint accepts connections; empty if no witness can tell. */
    void askWitness(
            EndpointRegistration endpoint,
            Iterator<Relay> witnesses,
            Consumer<Optional<ConnectionResult>> receiver) {
        if (!witnesses.hasNext()) {
            receiver.accept(Optional.empty());
            return;
        }
        mConnector.open(
                witnesses.next(),
                endpoint,
                NO_REQUEST,
                new RelayConnector.Receiver() {
                    @Override
                    public void opened(Channel channel) {
                        channel.close();
                        receiver.accept(Optional.of(ConnectionResult.OPENED));
                    }

                    @Override
                    public void failed(RelayReply.Status status) {
                        switch (status) {
                            case REFUSED -> receiver.accept(Optional.of(ConnectionResult.REFUSED));
                            case SILENT -> receiver.accept(Optional.of(ConnectionResult.SILENT));
                            default -> askWitness(endpoint, witnesses, receiver);
                        }
                    }
                });
    }
}
