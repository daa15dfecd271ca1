package org.wasabilug.standin.internal.endpoint;

import java.util.function.Consumer;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;

/** Passes an answer on, tells when it starts, and at its end whether all of it was taken. */
final class EndWatch extends GraphStage<FlowShape<ByteString, ByteString>> {
    private final Inlet<ByteString> mIn = Inlet.create("answer.in");
    private final Outlet<ByteString> mOut = Outlet.create("answer.out");
    private final FlowShape<ByteString, ByteString> mShape = FlowShape.of(mIn, mOut);
    private final Runnable mOnStart;
    private final Consumer<Boolean> mOnEnd;

    EndWatch(Runnable onStart, Consumer<Boolean> onEnd) {
        mOnStart = onStart;
        mOnEnd = onEnd;
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
        private boolean mComplete;

        private Logic() {
            super(mShape);
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
            mOnStart.run();
        }

        @Override
        public void postStop() {
            mOnEnd.accept(mComplete);
        }
    }
}
