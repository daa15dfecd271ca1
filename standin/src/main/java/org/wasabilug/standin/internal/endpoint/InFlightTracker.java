package org.wasabilug.standin.internal.endpoint;

import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.wasabilug.standin.internal.http.ConnectionBrokenException;

/**
 * Forwards the bytes of an answer unchanged, counts its call as in flight from the first demand
 * until the stream ends, and lets a crash abort it.
 */
final class InFlightTracker extends GraphStage<FlowShape<ByteString, ByteString>> {
    private final Inlet<ByteString> mIn = Inlet.create("answer.in");
    private final Outlet<ByteString> mOut = Outlet.create("answer.out");
    private final FlowShape<ByteString, ByteString> mShape = FlowShape.of(mIn, mOut);
    private final EndpointLifecycle mLifecycle;
    private final Admission.Accepted mAccepted;

    InFlightTracker(EndpointLifecycle lifecycle, Admission.Accepted accepted) {
        mLifecycle = lifecycle;
        mAccepted = accepted;
    }

    @Override
    public FlowShape<ByteString, ByteString> shape() {
        return mShape;
    }

    @Override
    public GraphStageLogic createLogic(Attributes attributes) {
        return new Logic();
    }

    private final class Logic extends GraphStageLogic {
        private final Runnable mAbort;
        private boolean mComplete;

        private Logic() {
            super(mShape);
            AsyncCallback<NotUsed> abort =
                    createAsyncCallback(ignored -> failStage(new ConnectionBrokenException()));
            mAbort = () -> abort.invoke(NotUsed.getInstance());
            setHandler(
                    mIn,
                    new AbstractInHandler() {
                        @Override
                        public void onPush() {
                            push(mOut, grab(mIn));
                        }

                        @Override
                        public void onUpstreamFinish() {
                            mComplete = true;
                            completeStage();
                        }
                    });
            setHandler(
                    mOut,
                    new AbstractOutHandler() {
                        @Override
                        public void onPull() {
                            pull(mIn);
                        }
                    });
        }

        @Override
        public void preStart() {
            if (!mLifecycle.start(mAccepted, mAbort, System.nanoTime())) {
                failStage(new ConnectionBrokenException());
            }
        }

        @Override
        public void postStop() {
            mLifecycle.end(mAccepted.generation(), mAbort, mComplete, System.nanoTime());
        }
    }
}
