package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.ServiceSpecification;
import org.wasabilug.serving.StoreRevision;

/**
 * Instances in virtual time in front of the engines of one service, which may announce from the
 * start that they are brittle. After a while an engine that rejects more requests than its limit
 * within a second crashes, and comes back under another name.
 */
final class BrittleFleet {
    private static final String SERVICE = "service";
    private static final long SECOND_MILLIS = 1_000;
    private static final long TRANSIT_MILLIS = 1;
    private static final long REPORT_MILLIS = 20;
    private static final long MIN_HEARTBEAT_MILLIS = 200;
    private static final long HEARTBEAT_MILLIS_PER_PEER = 6;
    private static final long UNTIL_BACK_MILLIS = 2_000;
    private static final int MAX_SENDS = 2;

    /** Time from the first announcement until engines begin to crash. */
    static final long CONTACT_MILLIS = 3_000;

    private final Shape mShape;
    private final boolean mAnnounced;
    private final Random mRandom;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<Instance> mInstances = new ArrayList<>();
    private long mNowMillis = 1;
    private long mNextEvent;
    private int mServed;
    private int mRefused;
    private int mCrashes;

    /**
     * Size of the fleet.
     *
     * @param instances number of instances
     * @param heard number of instances that hear each other
     * @param engines number of engines
     * @param slots requests that an engine runs concurrently
     * @param queue requests that may wait at an engine
     * @param limit rejections within a second that an engine tolerates
     * @param workMillis duration of a request
     */
    record Shape(
            int instances,
            int heard,
            int engines,
            int slots,
            int queue,
            int limit,
            long workMillis) {}

    /** Creates a fleet whose engines announce that they are brittle, or don't. */
    BrittleFleet(Shape shape, boolean announced, long seed) {
        mShape = shape;
        mAnnounced = announced;
        mRandom = new Random(seed);
        for (int engine = 0; engine < shape.engines(); engine++) {
            mEngines.add(new Engine("engine-" + engine));
        }
        for (int instance = 0; instance < shape.instances(); instance++) {
            Instance added = new Instance("instance-" + instance);
            mInstances.add(added);
            at(mRandom.nextLong(MIN_HEARTBEAT_MILLIS), added::sendHeartbeat);
        }
    }

    int served() {
        return mServed;
    }

    int refused() {
        return mRefused;
    }

    int crashes() {
        return mCrashes;
    }

    /** Starts to count anew. */
    void resetCounts() {
        mServed = 0;
        mRefused = 0;
        mCrashes = 0;
    }

    /** Lets requests arrive at random times and at random instances. */
    void run(long millis, double requestsPerSecond) {
        long until = mNowMillis + millis;
        scheduleArrivals(until, requestsPerSecond);
        while (!mEvents.isEmpty() && mEvents.peek().millis <= until) {
            Event event = mEvents.poll();
            mNowMillis = event.millis;
            event.action.run();
        }
        mNowMillis = until;
    }

    private void scheduleArrivals(long until, double requestsPerSecond) {
        double next = mNowMillis;
        while (next < until) {
            next -= Math.log(1 - mRandom.nextDouble()) * SECOND_MILLIS / requestsPerSecond;
            Instance instance = mInstances.get(mRandom.nextInt(mInstances.size()));
            at((long) next - mNowMillis, () -> instance.send(new HashSet<>()));
        }
    }

    private void at(long delayMillis, Runnable action) {
        mEvents.add(new Event(mNowMillis + Math.max(0, delayMillis), mNextEvent++, action));
    }

    private record Event(long millis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(millis, other.millis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A request that has been sent to an engine. */
    private record Send(
            Instance instance,
            EndpointState endpoint,
            Set<String> tried,
            RejectionControl.Load load) {}

    private final class Engine {
        private final String mName;
        private final SlidingWindow mRejections = new SlidingWindow(SECOND_MILLIS);
        private int mIncarnation;
        private int mInside;
        private boolean mUp = true;

        Engine(String name) {
            mName = name;
        }

        String incarnation() {
            return mName + "." + mIncarnation;
        }

        void receive(Send send, int incarnation) {
            if (!mUp || incarnation != mIncarnation) {
                at(TRANSIT_MILLIS, () -> send.instance().failed(send));
            } else if (mInside < mShape.slots() + mShape.queue()) {
                long wait = mInside < mShape.slots() ? 0 : mShape.workMillis() / mShape.slots();
                mInside++;
                at(mShape.workMillis() + wait, () -> done(send, incarnation));
            } else {
                reject(send);
            }
        }

        private void done(Send send, int incarnation) {
            if (!mUp || incarnation != mIncarnation) {
                at(TRANSIT_MILLIS, () -> send.instance().failed(send));
                return;
            }
            mInside--;
            at(TRANSIT_MILLIS, () -> send.instance().served(send));
        }

        private void reject(Send send) {
            mRejections.add(mNowMillis);
            boolean tooMany = mRejections.count(mNowMillis) > mShape.limit();
            if (tooMany && mNowMillis > CONTACT_MILLIS) {
                mCrashes++;
                mUp = false;
                at(UNTIL_BACK_MILLIS, this::comeBack);
                at(TRANSIT_MILLIS, () -> send.instance().failed(send));
            } else {
                at(TRANSIT_MILLIS, () -> send.instance().rejected(send));
            }
        }

        private void comeBack() {
            mIncarnation++;
            mInside = 0;
            mUp = true;
        }
    }

    private final class Instance {
        private final String mName;
        private final BrittleServices mServices = new BrittleServices();
        private final EndpointSelector mSelector =
                new EndpointSelector(new ColdLimits(1.5, 5), mServices, new PrefixCacheEstimator());
        private final Map<String, EndpointState> mEndpoints = new HashMap<>();

        Instance(String name) {
            mName = name;
        }

        private FleetView fleet() {
            List<String> heard = heardPeers().stream().map(peer -> peer.mName).toList();
            return FleetView.of(mName, mShape.instances(), heard);
        }

        private EndpointState endpoint(String incarnation) {
            return mEndpoints.computeIfAbsent(
                    incarnation, name -> new EndpointState(registration(name), mNowMillis));
        }

        private EndpointRegistration registration(String name) {
            return new EndpointRegistration(
                    name,
                    SERVICE,
                    "10.0.0.1",
                    80,
                    "",
                    mShape.slots(),
                    false,
                    0,
                    0,
                    "v1",
                    new StoreRevision(0, 1));
        }

        void send(Set<String> tried) {
            List<Engine> up = mEngines.stream().filter(each -> each.mUp).toList();
            List<EndpointState> usable =
                    up.stream().map(engine -> endpoint(engine.incarnation())).toList();
            Selection selection = mSelector.choose(selectionRequest(tried), usable, mNowMillis);
            if (tried.size() < MAX_SENDS && selection instanceof Selection.Chosen chosen) {
                sendTo(up.get(usable.indexOf(chosen.endpoint())), chosen.endpoint(), tried);
            } else {
                mRefused++;
            }
        }

        private void sendTo(Engine engine, EndpointState endpoint, Set<String> tried) {
            tried.add(endpoint.registration().name());
            endpoint.recordSent(new EndpointLoad(1, 0, 0), mNowMillis);
            Send send = new Send(this, endpoint, tried, endpoint.loadAndSlots(service()));
            int incarnation = engine.mIncarnation;
            at(TRANSIT_MILLIS, () -> engine.receive(send, incarnation));
        }

        private static ServiceSpecification service() {
            return new ServiceSpecification(
                    SERVICE, "/", 100, 0, 0, Optional.empty(), Optional.empty());
        }

        private SelectionRequest selectionRequest(Set<String> tried) {
            return new SelectionRequest(
                    service(), tried, Optional.empty(), "", false, PromptSize.NONE, fleet());
        }

        void served(Send send) {
            answered(send);
            send.endpoint().rejectionControl().recordAccepted(send.load(), mNowMillis);
            mServed++;
        }

        void rejected(Send send) {
            answered(send);
            send.endpoint().rejectionControl().recordRejection(mShape.limit(), fleet(), mNowMillis);
            String name = send.endpoint().registration().name();
            heardPeers().forEach(peer -> at(REPORT_MILLIS, () -> peer.reported(name)));
            send(send.tried());
        }

        void failed(Send send) {
            send.endpoint().releaseLoad(new EndpointLoad(1, 0, 0));
            mRefused++;
        }

        private void answered(Send send) {
            send.endpoint().releaseLoad(new EndpointLoad(1, 0, 0));
            if (mAnnounced) {
                mServices.recordAnswer(SERVICE, Optional.of(mShape.limit()), mNowMillis);
            }
        }

        private List<Instance> heardPeers() {
            if (mInstances.indexOf(this) >= mShape.heard()) {
                return List.of();
            }
            return mInstances.subList(0, mShape.heard()).stream()
                    .filter(peer -> peer != this)
                    .toList();
        }

        private void reported(String engine) {
            recordPeerReport();
            endpoint(engine)
                    .rejectionControl()
                    .recordPeerRejection(mShape.limit(), fleet(), mNowMillis);
        }

        private void sendHeartbeat() {
            Map<String, EndpointLoad> loads = new HashMap<>();
            mEndpoints.forEach((name, endpoint) -> loads.put(name, endpoint.localLoad()));
            for (Instance peer : heardPeers()) {
                at(REPORT_MILLIS, () -> peer.heartbeatReceived(mName, loads));
            }
            long interval = HEARTBEAT_MILLIS_PER_PEER * (mShape.instances() - 1);
            at(Math.max(MIN_HEARTBEAT_MILLIS, interval), this::sendHeartbeat);
        }

        private void recordPeerReport() {
            if (mAnnounced) {
                mServices.recordPeerReport(SERVICE, mShape.limit(), mNowMillis);
            }
        }

        private void heartbeatReceived(String peer, Map<String, EndpointLoad> loads) {
            recordPeerReport();
            loads.forEach((name, load) -> endpoint(name).setPeerLoad(peer, load));
        }
    }
}
