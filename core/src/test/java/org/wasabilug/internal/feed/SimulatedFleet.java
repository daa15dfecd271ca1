package org.wasabilug.internal.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.ticket.TicketCodec;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.ListedRole;
import org.wasabilug.port.PeerMessage;

/**
 * Simulated instances in several failure domains, with one platform and a network that can be
 * partitioned.
 */
final class SimulatedFleet {
    /** Size of the headers of a TCP segment and its acknowledgement. */
    private static final int SEGMENT_BYTES = 132;

    private static final int ENVELOPE_BYTES = 24;
    private static final int ENTRY_BYTES = 8;
    private static final long LATENCY_NANOS = 1_500_000;

    private final VirtualClock mClock = new VirtualClock();
    private final UniformRandomProvider mRandom;
    private final SimulatedPlatform mPlatform;
    private final List<SimulatedInstance> mInstances = new ArrayList<>();
    private final int mDomains;
    private final long mSeed;
    BiPredicate<SimulatedInstance, SimulatedInstance> mCut = (sender, receiver) -> false;
    double mLostMessageShare;
    long mMessages;
    long mBytes;

    SimulatedFleet(int instances, int domains, long seed) {
        mDomains = domains;
        mSeed = seed;
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mPlatform = new SimulatedPlatform(mClock, mRandom);
        List<ListedInstance> listed = new ArrayList<>();
        for (int number = 0; number < instances; number++) {
            mInstances.add(new SimulatedInstance(this, number, 1, List.of()));
            listed.add(
                    new ListedInstance(
                            "entry-" + number,
                            ListedRole.ENTRY,
                            domainOf(number),
                            addressOf(number),
                            false));
        }
        mPlatform.mListed = listed;
    }

    static String addressOf(int number) {
        return "10.0.0.1:" + number;
    }

    void start() {
        mInstances.forEach(
                instance ->
                        mClock.schedule(
                                mRandom.nextLong(1_000_000_000),
                                () -> instance.handle(new InstanceEvent.TimerFired())));
    }

    /** Replaces an instance by a new incarnation that starts with its settings only. */
    SimulatedInstance restart(int number, long incarnation, List<String> seeds) {
        mInstances.get(number).stop();
        SimulatedInstance instance = new SimulatedInstance(this, number, incarnation, seeds);
        mInstances.set(number, instance);
        instance.handle(new InstanceEvent.TimerFired());
        return instance;
    }

    void deliver(SimulatedInstance sender, InstanceAction.SendToPeer send) {
        mMessages++;
        mBytes += bytesOf(send.message());
        int number =
                send.address().isEmpty()
                        ? Integer.parseInt(send.peer().value().substring("entry-".length()))
                        : Integer.parseInt(send.address().split(":")[1]);
        SimulatedInstance receiver = mInstances.get(number);
        if (!mCut.test(sender, receiver) && mRandom.nextDouble() >= mLostMessageShare) {
            InstanceEvent event =
                    new InstanceEvent.PeerMessageReceived(sender.mName, send.message());
            mClock.schedule(mClock.nowNanos() + LATENCY_NANOS, () -> receiver.handle(event));
        }
    }

    /** Returns the approximate size of a message on the wire. */
    private static long bytesOf(PeerMessage message) {
        long body =
                switch (message) {
                    case PeerMessage.Heartbeat heartbeat -> ENVELOPE_BYTES;
                    case PeerMessage.Digest digest ->
                            digest.ticketNumbers().keySet().stream()
                                    .mapToLong(key -> key.toString().length() + ENTRY_BYTES)
                                    .sum();
                    case PeerMessage.ObjectsRequest request ->
                            request.keys().stream()
                                    .mapToLong(key -> key.toString().length() + 2)
                                    .sum();
                    case PeerMessage.Objects objects ->
                            objects.objects().stream()
                                    .mapToLong(
                                            object -> TicketCodec.writeVersioned(object).length())
                                    .sum();
                    case PeerMessage.Crashes crashes -> 0;
                    case PeerMessage.Usage usage -> 0;
                };
        return SEGMENT_BYTES + ENVELOPE_BYTES + body;
    }

    FailureDomainName domainOf(int number) {
        return new FailureDomainName("domain-" + number % mDomains);
    }

    VirtualClock clock() {
        return mClock;
    }

    SimulatedPlatform platform() {
        return mPlatform;
    }

    UniformRandomProvider random() {
        return mRandom;
    }

    List<SimulatedInstance> instances() {
        return mInstances;
    }

    long seed() {
        return mSeed;
    }
}
