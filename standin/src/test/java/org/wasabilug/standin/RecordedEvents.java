package org.wasabilug.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wasabilug.internal.event.InstanceEvent;

/** Records events and lets a test wait for the next one of a type. */
final class RecordedEvents implements Consumer<InstanceEvent> {
    private static final long TIMEOUT_SECONDS = 60;

    private final BlockingQueue<InstanceEvent> mArrived = new LinkedBlockingQueue<>();
    private final List<InstanceEvent> mSeen = new ArrayList<>();

    @Override
    public void accept(InstanceEvent event) {
        mArrived.add(event);
    }

    <T extends InstanceEvent> T await(Class<T> type) {
        while (true) {
            InstanceEvent event = next();
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    List<InstanceEvent> seen() {
        mArrived.drainTo(mSeen);
        return mSeen;
    }

    String text() {
        StringBuilder text = new StringBuilder();
        for (InstanceEvent event : seen()) {
            if (event instanceof InstanceEvent.ChunkArrived chunk) {
                text.append(chunk.text());
            }
        }
        return text.toString();
    }

    private InstanceEvent next() {
        try {
            InstanceEvent event = mArrived.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (event == null) {
                throw new AssertionError("no further event within the timeout; seen: " + mSeen);
            }
            mSeen.add(event);
            return event;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted while waiting for an event", exception);
        }
    }
}
