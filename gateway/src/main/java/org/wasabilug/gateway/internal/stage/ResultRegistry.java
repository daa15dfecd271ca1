package org.wasabilug.gateway.internal.stage;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.endpoint.EndpointCall;
import org.wasabilug.gateway.internal.endpoint.OutgoingRequest;
import org.wasabilug.internal.serving.EndpointState;

/** Results held by endpoints until a request releases them or they expire. */
final class ResultRegistry {
    private static final long RELEASE_BATCH_MILLIS = 10;
    private static final long RELEASE_TIMEOUT_MILLIS = 2_000;
    private static final long DEFAULT_RETENTION_MILLIS = 4_000;

    private final GatewayState mState;
    private final Consumer<Result> mOnRelease;
    private final Map<String, Result> mResults = new LinkedHashMap<>();
    private final Map<String, List<String>> mToRelease = new HashMap<>();
    private boolean mReleaseScheduled;

    ResultRegistry(GatewayState state, Consumer<Result> onRelease) {
        mState = state;
        mOnRelease = onRelease;
    }

    /** A result and the capacity that it occupies, in bytes. */
    record Result(String service, String endpoint, double bytes, long expiresMillis) {}

    void produced(String handle, String service, String endpoint, double bytes) {
        long expires = mState.nowMillis() + retentionMillis(service);
        mResults.put(handle, new Result(service, endpoint, bytes, expires));
    }

    /** Returns how long an endpoint keeps a result that is not released. */
    long retentionMillis(String service) {
        return mState.service(service)
                .flatMap(specification -> specification.stage())
                .map(stage -> (long) stage.resultLifetimeMillis())
                .orElse(DEFAULT_RETENTION_MILLIS);
    }

    void release(List<String> handles) {
        for (String handle : handles) {
            mToRelease
                    .computeIfAbsent(
                            mState.protocol().stages().producerAddress(handle),
                            address -> new ArrayList<>())
                    .add(handle);
        }
        if (!mReleaseScheduled && !mToRelease.isEmpty()) {
            mReleaseScheduled = true;
            mState.loop().schedule(this::sendReleases, RELEASE_BATCH_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    int evictExpired() {
        int evicted = 0;
        long now = mState.nowMillis();
        Iterator<Result> iterator = mResults.values().iterator();
        while (iterator.hasNext()) {
            Result result = iterator.next();
            if (result.expiresMillis() <= now) {
                iterator.remove();
                mOnRelease.accept(result);
                evicted++;
            }
        }
        return evicted;
    }

    private void sendReleases() {
        mReleaseScheduled = false;
        Map<String, List<String>> batch = new HashMap<>(mToRelease);
        mToRelease.clear();
        batch.forEach(
                (address, handles) ->
                        mState.directory()
                                .findByAddress(address)
                                .ifPresent(endpoint -> sendAfterPause(endpoint, handles)));
    }

    private void sendAfterPause(EndpointState endpoint, List<String> handles) {
        long pauseMillis = endpoint.pause().remainingMillis(mState.nowMillis());
        if (pauseMillis == 0) {
            sendRelease(endpoint, handles);
        } else {
            mState.loop().schedule(() -> release(handles), pauseMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void sendRelease(EndpointState endpoint, List<String> handles) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Content-Type", "application/json");
        OutgoingRequest request =
                new OutgoingRequest(
                        "",
                        HttpMethod.POST,
                        mState.protocol().stages().releaseTarget(),
                        headers,
                        mState.protocol().stages().releaseBody(handles),
                        true);
        EndpointCall call =
                mState.connections()
                        .send(
                                endpoint.registration(),
                                request,
                                new ReleaseListener(() -> handles.forEach(this::released)));
        mState.loop().schedule(call::cancel, RELEASE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void released(String handle) {
        Result result = mResults.remove(handle);
        if (result != null) {
            mOnRelease.accept(result);
        }
    }
}
