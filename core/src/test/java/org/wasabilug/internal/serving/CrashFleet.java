package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/** Instances and endpoints in virtual time; a request with a bad part crashes its endpoint. */
final class CrashFleet {
    private static final int MAX_ATTEMPTS = 4;
    private static final long RESTART_MILLIS = 5_000;
    private static final long WAIT_MILLIS = 100;
    private static final long DEADLINE_MILLIS = 15_000;

    private final Random mRandom;
    private final Set<Long> mBadParts = new HashSet<>();
    private final List<CrashSuspects> mInstances = new ArrayList<>();
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final List<BadEvent> mBadSends = new ArrayList<>();
    private final List<BadEvent> mBadCrashes = new ArrayList<>();
    private final List<Long> mSoundRefusals = new ArrayList<>();
    private long mNowMillis;
    private long mOrder;
    private int mSoundServed;
    private int mSoundUnserved;
    private double mLoss = 0.01;
    private int mMaxBeginMillis = 450;

    private record Event(long atMillis, long order, Runnable action) {}

    private record BadEvent(long part, long atMillis) {}

    private static final class Endpoint {
        private final String mName;
        private final String mDomain;
        private final List<Request> mBeginning = new ArrayList<>();
        private long mUpFromMillis;

        Endpoint(String name, String domain) {
            mName = name;
            mDomain = domain;
        }
    }

    private static final class Request {
        private final int mInstance;
        private final RequestFeatures mFeatures;
        private final long mDeadlineMillis;
        private final Set<Endpoint> mTried = new HashSet<>();

        Request(int instance, RequestFeatures features, long deadlineMillis) {
            mInstance = instance;
            mFeatures = features;
            mDeadlineMillis = deadlineMillis;
        }
    }

    CrashFleet(long seed, int instances, int endpoints, int domains) {
        mRandom = new Random(seed);
        for (int i = 0; i < instances; i++) {
            mInstances.add(new CrashSuspects());
        }
        for (int i = 0; i < endpoints; i++) {
            mEndpoints.add(new Endpoint("e" + i, "d" + i % domains));
        }
    }

    /** Sets which share of the messages between instances is lost. */
    void setLoss(double loss) {
        mLoss = loss;
    }

    /** Sets how long an endpoint may need until it begins to write an answer. */
    void setMaxBeginMillis(int maxBeginMillis) {
        mMaxBeginMillis = maxBeginMillis;
    }

    void addBadPart(long part) {
        mBadParts.add(part);
    }

    void addBadPartAt(long atMillis, long part) {
        at(atMillis, () -> mBadParts.add(part));
    }

    /** Sends a request with a content of its own. */
    void requestAt(long atMillis, long workspace, Set<Long> parts) {
        int instance = mRandom.nextInt(mInstances.size());
        RequestFeatures features = new RequestFeatures(workspace, mRandom.nextLong(), parts);
        Request request = new Request(instance, features, atMillis + DEADLINE_MILLIS);
        at(atMillis, () -> send(request));
    }

    /** Sends requests with random gaps that give a rate on average. */
    void requests(long fromMillis, long untilMillis, double rate, Consumer<Long> requestAt) {
        double at = fromMillis;
        while (true) {
            at += -Math.log(1 - mRandom.nextDouble()) * 1_000 / rate;
            if (at >= untilMillis) {
                return;
            }
            requestAt.accept((long) at);
        }
    }

    void crashAt(long atMillis, int endpoint) {
        at(atMillis, () -> crash(mEndpoints.get(endpoint)));
    }

    void crashDomainAt(long atMillis, String domain, long spreadMillis) {
        for (Endpoint endpoint : mEndpoints) {
            if (endpoint.mDomain.equals(domain)) {
                at(atMillis + (long) (mRandom.nextDouble() * spreadMillis), () -> crash(endpoint));
            }
        }
    }

    void run(long untilMillis) {
        for (long at = 0; at < untilMillis; at += 1_000) {
            at(at, () -> mInstances.forEach(instance -> instance.removeExpired(mNowMillis)));
        }
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() < untilMillis) {
            Event event = mEvents.poll();
            mNowMillis = event.atMillis();
            event.action().run();
        }
    }

    /** Returns how many requests with a part reached endpoints after its fifth crash. */
    long sendsAfterFifthCrash(long part, long graceMillis) {
        List<BadEvent> crashes =
                mBadCrashes.stream().filter(crash -> crash.part() == part).toList();
        if (crashes.size() < 5) {
            return 0;
        }
        long fromMillis = crashes.get(4).atMillis() + graceMillis;
        return mBadSends.stream()
                .filter(sent -> sent.part() == part && sent.atMillis() > fromMillis)
                .count();
    }

    int crashes(long part) {
        return (int) mBadCrashes.stream().filter(crash -> crash.part() == part).count();
    }

    /** Returns when sound requests were refused that had not crashed three endpoints themselves. */
    List<Long> soundRefusals() {
        return mSoundRefusals;
    }

    int soundServed() {
        return mSoundServed;
    }

    int soundUnserved() {
        return mSoundUnserved;
    }

    private void send(Request request) {
        CrashVerdict verdict =
                mInstances
                        .get(request.mInstance)
                        .judge(request.mFeatures, request.mInstance == 0, mNowMillis);
        if (verdict == CrashVerdict.REFUSED) {
            refuse(request);
            return;
        }
        List<Endpoint> usable =
                mEndpoints.stream()
                        .filter(endpoint -> endpoint.mUpFromMillis <= mNowMillis)
                        .filter(endpoint -> !request.mTried.contains(endpoint))
                        .toList();
        if (!usable.isEmpty()) {
            begin(request, usable.get(mRandom.nextInt(usable.size())));
        } else if (mNowMillis + WAIT_MILLIS < request.mDeadlineMillis) {
            at(mNowMillis + WAIT_MILLIS, () -> send(request));
        } else {
            mSoundUnserved += isBad(request) ? 0 : 1;
        }
    }

    private void refuse(Request request) {
        boolean isRepeated = request.mTried.size() >= 3;
        if (!isBad(request) && !isRepeated) {
            mSoundRefusals.add(mNowMillis);
        }
    }

    private void begin(Request request, Endpoint endpoint) {
        addBadEvent(request, mBadSends);
        request.mTried.add(endpoint);
        endpoint.mBeginning.add(request);
        long delayMillis = 50 + mRandom.nextInt(mMaxBeginMillis - 50);
        at(mNowMillis + delayMillis, () -> write(request, endpoint));
    }

    private void write(Request request, Endpoint endpoint) {
        if (!endpoint.mBeginning.contains(request)) {
            return;
        }
        if (isBad(request)) {
            addBadEvent(request, mBadCrashes);
            crash(endpoint);
            return;
        }
        endpoint.mBeginning.remove(request);
        mSoundServed++;
        Set<Long> cleared =
                mInstances.get(request.mInstance).recordAnswer(request.mFeatures, mNowMillis);
        if (!cleared.isEmpty()) {
            tellPeers(request.mInstance, peer -> peer.acquit(cleared, mNowMillis));
        }
    }

    private void crash(Endpoint endpoint) {
        List<Request> interrupted = List.copyOf(endpoint.mBeginning);
        endpoint.mBeginning.clear();
        endpoint.mUpFromMillis = mNowMillis + RESTART_MILLIS;
        for (Request request : interrupted) {
            at(mNowMillis + 1 + mRandom.nextInt(20), () -> observe(request, endpoint));
        }
    }

    private void observe(Request request, Endpoint endpoint) {
        CrashObservation observation =
                new CrashObservation(
                        endpoint.mName,
                        endpoint.mDomain,
                        "service",
                        mNowMillis,
                        request.mFeatures.workspace(),
                        request.mFeatures.content(),
                        request.mFeatures.parts());
        if (mInstances.get(request.mInstance).recordCrash(observation, mNowMillis)) {
            tellPeers(request.mInstance, peer -> peer.recordCrash(observation, mNowMillis));
        }
        if (request.mTried.size() < MAX_ATTEMPTS) {
            send(request);
        }
    }

    private void tellPeers(int from, Consumer<CrashSuspects> message) {
        for (int peer = 0; peer < mInstances.size(); peer++) {
            CrashSuspects receiver = mInstances.get(peer);
            if (peer != from && mRandom.nextDouble() >= mLoss) {
                at(mNowMillis + 2 + mRandom.nextInt(40), () -> message.accept(receiver));
            }
        }
    }

    private void addBadEvent(Request request, List<BadEvent> events) {
        request.mFeatures.parts().stream()
                .filter(mBadParts::contains)
                .forEach(part -> events.add(new BadEvent(part, mNowMillis)));
    }

    private boolean isBad(Request request) {
        return request.mFeatures.parts().stream().anyMatch(mBadParts::contains);
    }

    private void at(long atMillis, Runnable action) {
        mEvents.add(new Event(atMillis, mOrder++, action));
    }
}
