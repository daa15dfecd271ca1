package org.wasabilug.demo;

import java.net.URI;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Steady callers that count what they see. */
final class DemoTraffic implements AutoCloseable {
    private static final int CALLERS = 6;
    private static final int STATUS_OK = 200;

    private final DemoClient mClient;
    private final List<URI> mInstances;
    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicBoolean mRunning = new AtomicBoolean(true);
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final Semaphore mEnded = new Semaphore(0);

    DemoTraffic(DemoClient client, List<URI> instances) {
        mClient = client;
        mInstances = instances;
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            mThreads.execute(() -> call(number));
        }
    }

    private void call(int caller) {
        for (int turn = 0; mRunning.get(); turn++) {
            URI instance = mInstances.get((caller + turn) % mInstances.size());
            DemoClient.Answer answer =
                    mClient.ask(instance, "cylinder " + caller + "-" + turn + " at the dairy");
            (answer.status() == STATUS_OK ? mAnswered : mRefused).incrementAndGet();
        }
        mEnded.release();
    }

    String summary() {
        return mAnswered.get() + " answered, " + mRefused.get() + " refused";
    }

    int answered() {
        return mAnswered.get();
    }

    int refused() {
        return mRefused.get();
    }

    /** Lets the requests in flight end. */
    void finish() {
        mRunning.set(false);
        mEnded.acquireUninterruptibly(CALLERS);
    }

    @Override
    public void close() {
        mRunning.set(false);
        mThreads.close();
    }
}
