package org.wasabilug.bench.internal.virtual;

import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.PipelineName;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

/** Draws requests: most read, some may run at most once, and a few workspaces are large. */
final class RequestMix {
    private static final double TRANSFER_SHARE = 0.2;
    private static final double[] WORKSPACE_SHARES = {0.45, 0.30, 0.10, 0.10, 0.05};

    private final FleetShape mShape;
    private final UniformRandomProvider mRandom;
    private long mLast;

    RequestMix(FleetShape shape, UniformRandomProvider random) {
        mShape = shape;
        mRandom = random;
    }

    /** Share of the requests that go to a pipeline. */
    static double shareOf(PipelineName pipeline) {
        return pipeline.equals(FleetShape.TRANSFERS) ? TRANSFER_SHARE : 1 - TRANSFER_SHARE;
    }

    CallerRequest draw() {
        mLast++;
        boolean transfer = mRandom.nextDouble() < TRANSFER_SHARE;
        return mShape.request(
                "r-" + mLast,
                transfer ? FleetShape.TRANSFERS : FleetShape.CERTIFICATES,
                drawWorkspace(),
                "site " + mLast,
                transfer);
    }

    private int drawWorkspace() {
        double drawn = mRandom.nextDouble();
        int workspace = 0;
        while (workspace < WORKSPACE_SHARES.length - 1 && drawn >= WORKSPACE_SHARES[workspace]) {
            drawn -= WORKSPACE_SHARES[workspace];
            workspace++;
        }
        return workspace;
    }
}
