package org.wasabilug.bench.internal.virtual;

import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.PipelineName;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

/**
 * Draws random requests. Most are reads, some contain an at-most-once stage, and a few workspaces
 * account for most of the load.
 */
final class RequestMix {
    private static final double TRANSFER_REQUEST_SHARE = 0.2;
    private static final double[] WORKSPACE_SHARES = {0.45, 0.30, 0.10, 0.10, 0.05};

    private final FleetShape mShape;
    private final UniformRandomProvider mRandom;
    private long mLastNumber;

    RequestMix(FleetShape shape, UniformRandomProvider random) {
        mShape = shape;
        mRandom = random;
    }

    /** Returns the share of requests that use a pipeline. */
    static double shareOf(PipelineName pipeline) {
        return pipeline.equals(FleetShape.TRANSFERS)
                ? TRANSFER_REQUEST_SHARE
                : 1 - TRANSFER_REQUEST_SHARE;
    }

    CallerRequest draw() {
        mLastNumber++;
        boolean transfer = mRandom.nextDouble() < TRANSFER_REQUEST_SHARE;
        return mShape.request(
                "r-" + mLastNumber,
                transfer ? FleetShape.TRANSFERS : FleetShape.CERTIFICATES,
                drawWorkspace(),
                "site " + mLastNumber,
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
