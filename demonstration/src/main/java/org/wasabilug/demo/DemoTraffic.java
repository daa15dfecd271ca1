package org.wasabilug.demo;

import java.net.URI;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Concurrent callers that send requests in a loop and count the outcomes. */
final class DemoTraffic implements AutoCloseable {
    private static final int CALLERS = 6;
    private static final int STATUS_OK = 200;

    private final DemoClient mClient;
    private final List<URI> mInstances;
    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicBoolean mRunning = new AtomicBoolean(true);
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final Semaphore mEndedCallers = new Semaphore(0);

    DemoTraffic(DemoClient client, List<URI> instances) {
        mClient = client;
        mInstances = instances;
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            mThreads.execute(() -> runCaller(number));
        }
    }

    private void runCaller(int caller) {
        for (int iteration = 0; mRunning.get(); iteration++) {
            URI instance = mInstances.get((caller + iteration) % mInstances.size());
            DemoClient.Response response =
                    mClient.submitRequest(
                            instance, "cylinder " + caller + "-" + iteration + " at the dairy");
            (response.status() == STATUS_OK ? mAnswered : mRefused).incrementAndGet();
        }
        mEndedCallers.release();
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

    /** Stops sending and waits for the requests in flight. */
    void stopAndAwait() {
        mRunning.set(false);
        mEndedCallers.acquireUninterruptibly(CALLERS);
    }

    @Override
    public void close() {
        mRunning.set(false);
        mThreads.close();
    }
}
