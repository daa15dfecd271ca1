package org.wasabilug.gateway.internal.endpoint;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.function.BiConsumer;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter.Relay;
import org.wasabilug.gateway.internal.relay.RelayConnector;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Opens a connection for one call through the first relay that can. While a relay is late, the next
 * one is asked as well; the call gets the connection that opens first, others are closed unused.
 */
final class RelayedOpening {
    private final RelayConnector mConnector;
    private final ConnectionRouter mRouter;
    private final EndpointRegistration mEndpoint;
    private final EndpointCall mCall;
    private final Iterator<Relay> mRelays;
    private final BiConsumer<Relay, Channel> mReceiver;
    private int mPending;
    private boolean mDone;

    /**
     * Creates an opening that has asked no relay yet.
     *
     * @param connector asks the relays
     * @param router learns from the results
     * @param endpoint the endpoint
     * @param call the call, which fails if no relay can open a connection
     * @param relays the relays to ask, the preferred first
     * @param receiver receives the connection
     */
    RelayedOpening(
            RelayConnector connector,
            ConnectionRouter router,
            EndpointRegistration endpoint,
            EndpointCall call,
            Iterator<Relay> relays,
            BiConsumer<Relay, Channel> receiver) {
        mConnector = connector;
        mRouter = router;
        mEndpoint = endpoint;
        mCall = call;
        mRelays = relays;
        mReceiver = receiver;
    }

    /** Asks the next relay, if the call still needs one. */
    void askNext() {
        if (mDone || mCall.ended()) {
            return;
        }
        if (mRelays.hasNext()) {
            mPending++;
            Relay relay = mRelays.next();
            mConnector.open(relay, mEndpoint, mCall.request().id(), new Attempt(relay));
        } else if (mPending == 0) {
            fail(CallFailure.NOT_RELAYED);
        }
    }

    private void fail(CallFailure failure) {
        mDone = true;
        mCall.fail(failure);
    }

    /** What becomes of the connection through one relay. */
    private final class Attempt implements RelayConnector.Receiver {
        private final Relay mRelay;
        private boolean mLate;

        Attempt(Relay relay) {
            mRelay = relay;
        }

        @Override
        public void late() {
            mLate = true;
            mRouter.relayLate(mRelay);
            askNext();
        }

        @Override
        public void opened(Channel channel) {
            mPending--;
            if (mDone) {
                channel.close();
                return;
            }
            mDone = true;
            report(RelayReply.Status.OPENED);
            mReceiver.accept(mRelay, channel);
        }

        @Override
        public void failed(RelayReply.Status status) {
            mPending--;
            report(status);
            if (mDone) {
                return;
            }
            switch (status) {
                case REFUSED -> fail(CallFailure.NOT_CONNECTED);
                case SILENT -> fail(CallFailure.SILENT);
                default -> {
                    if (!mLate || mPending == 0) {
                        askNext();
                    }
                }
            }
        }

        private void report(RelayReply.Status status) {
            mRouter.relayed(mRelay, mEndpoint, mCall.request().id(), status);
        }
    }
}
