package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Plays one endpoint of a stage, in virtual time, with twice the load that full calls carry. */
class StageOverloadTest {
    private static final EndpointState ENDPOINT = ServingFixtures.endpoint("near", "rennes");
    private static final long STEP_MILLIS = 5;
    private static final long LOAD_MILLIS = 10_000;
    private static final long SLACK_MILLIS = 600;

    private final StageQueue mQueue = new StageQueue();
    private final Map<PieceId, Long> mArrivals = new HashMap<>();
    private final List<Long> mRefusedAfter = new ArrayList<>();
    private List<PieceWork> mRunning = List.of();
    private long mCallEndsMillis;
    private int mStartedOnTime;

    @Test
    void whatCanNotBeOnTimeIsRefusedSoonAndFullCallsServeTheRestOnTime() {
        int piecesPerCall = ServingFixtures.STAGE.piecesPerCall();
        long callMillis = callMillis(piecesPerCall);
        double arrivalsPerStep = 2.0 * piecesPerCall / callMillis * STEP_MILLIS;
        double due = 0;
        int next = 0;
        for (long now = 0; now < LOAD_MILLIS; now += STEP_MILLIS) {
            for (due += arrivalsPerStep; due >= 1; due--) {
                arrive(next++, now);
            }
            step(now);
        }

        double carried = (double) LOAD_MILLIS / callMillis * piecesPerCall;
        assertThat(mStartedOnTime / carried).isGreaterThan(0.9);
        assertThat(mRefusedAfter).isNotEmpty().allMatch(millis -> millis <= SLACK_MILLIS + 50);
    }

    private void arrive(int number, long now) {
        PieceWork work = ServingFixtures.piece("request-" + number, 0, now + SLACK_MILLIS, 0);
        mArrivals.put(work.id(), now);
        mQueue.add(work, now);
    }

    private void step(long now) {
        if (!mRunning.isEmpty() && now >= mCallEndsMillis) {
            mQueue.callEnded("near");
            mRunning.forEach(work -> mQueue.releaseCapacity("near", work.resultBytes()));
            mRunning = List.of();
        }
        for (PieceWork late : mQueue.removeExpired(now)) {
            mRefusedAfter.add(now - mArrivals.get(late.id()));
        }
        for (StageCall call : mQueue.formCalls(ServingFixtures.STAGE, List.of(ENDPOINT), now)) {
            mRunning = call.pieces();
            mCallEndsMillis = now + callMillis(mRunning.size());
            mStartedOnTime +=
                    (int) mRunning.stream().filter(work -> work.startByMillis() >= now).count();
        }
    }

    private static long callMillis(int pieces) {
        return (long)
                (ServingFixtures.STAGE.callMillis() + pieces * ServingFixtures.STAGE.pieceMillis());
    }
}
