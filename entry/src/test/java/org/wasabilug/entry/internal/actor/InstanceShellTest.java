package org.wasabilug.entry.internal.actor;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.pekko.actor.typed.ActorSystem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.entry.EntryActorSystem;
import org.wasabilug.entry.EntryLimits;
import org.wasabilug.entry.fake.FakeCore;
import org.wasabilug.entry.fake.FakeEndpoints;
import org.wasabilug.entry.fake.FakePlatform;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.instance.DecisionCore;
import org.wasabilug.internal.instance.InstanceStatus;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

class InstanceShellTest {
    private final ActorSystem<?> mSystem = EntryActorSystem.start(EntryLimits.builder().build());
    private final AtomicInteger mSent = new AtomicInteger();

    @AfterEach
    void endSystem() {
        EntryActorSystem.end(mSystem);
    }

    @Test
    void carriesOutWhatArrivedBeforeItWasClosed() {
        CompletableFuture<Void> held = new CompletableFuture<>();
        InstanceShell shell = new InstanceShell(parts(new WakingCore(held)), mSystem);
        for (int event = 0; event < 3; event++) {
            shell.tell(new InstanceMessage.EventArrived(new InstanceEvent.TimerFired()));
        }

        Thread closing = Thread.ofVirtual().start(shell::close);
        while (closing.getState() == Thread.State.NEW
                || closing.getState() == Thread.State.RUNNABLE) {
            Thread.onSpinWait();
        }
        held.complete(null);
        join(closing);

        assertThat(mSent).hasValue(4);
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private InstanceParts parts(DecisionCore core) {
        return new InstanceParts(
                core,
                new FakePlatform(),
                new FakeEndpoints(false),
                (peer, address, message) -> mSent.incrementAndGet(),
                EntryLimits.builder().build(),
                new MetricRegistry());
    }

    /** Asks for a wake-up with each event, once it is let go, and then sends a message. */
    private static final class WakingCore implements DecisionCore {
        private final CompletableFuture<Void> mHeld;
        private final DecisionCore mQuiet = new FakeCore(Configuration.empty());

        WakingCore(CompletableFuture<Void> held) {
            mHeld = held;
        }

        @Override
        public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
            mHeld.join();
            return List.of(
                    new InstanceAction.ScheduleWakeUp(nowNanos + Integer.MAX_VALUE),
                    new InstanceAction.SendToPeer(
                            new InstanceName("entry-2"),
                            "127.0.0.1:1",
                            new PeerMessage.Usage(Map.of())));
        }

        @Override
        public Configuration configuration() {
            return mQuiet.configuration();
        }

        @Override
        public InstanceStatus status(long nowNanos) {
            return mQuiet.status(nowNanos);
        }
    }
}
