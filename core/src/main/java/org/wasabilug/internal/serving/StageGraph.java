package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wasabilug.serving.RouteStage;

/** Progress of one request through the stages of its route. */
public final class StageGraph {
    private final List<RouteStage> mStages;
    private final String[][] mHandles;
    private final boolean[] mStarted;
    private final boolean[] mConsumed;

    /**
     * Creates a graph without results.
     *
     * @param stages stages of the route
     * @param pieces number of pieces of each stage; a missing number counts as 0, and a stage
     *     without pieces is skipped
     */
    public StageGraph(List<RouteStage> stages, List<Integer> pieces) {
        mStages = stages;
        mStarted = new boolean[stages.size()];
        mConsumed = new boolean[stages.size()];
        mHandles = new String[stages.size()][];
        for (int stage = 0; stage < stages.size(); stage++) {
            int count = stage < pieces.size() ? pieces.get(stage) : 0;
            mHandles[stage] = new String[Math.max(0, count)];
        }
    }

    /**
     * Returns the stages whose inputs have become complete. Each stage is returned only once.
     *
     * @return indexes of the stages
     */
    public List<Integer> pollReadyStages() {
        List<Integer> ready = new ArrayList<>();
        for (int stage = 0; stage < mHandles.length; stage++) {
            boolean inputsComplete = mStages.get(stage).after().stream().allMatch(this::isComplete);
            if (!mStarted[stage] && mHandles[stage].length > 0 && inputsComplete) {
                mStarted[stage] = true;
                ready.add(stage);
            }
        }
        return ready;
    }

    /**
     * Records the result of a piece. A second result of the same piece is ignored.
     *
     * @param stage index of the stage
     * @param piece index of the piece
     * @param handle handle of the result
     * @return true if this is the first result of the piece
     */
    public boolean recordResult(int stage, int piece, String handle) {
        if (mHandles[stage][piece] != null) {
            return false;
        }
        mHandles[stage][piece] = handle;
        return true;
    }

    /**
     * Returns the number of pieces of a stage.
     *
     * @param stage index of the stage
     */
    public int pieceCount(int stage) {
        return mHandles[stage].length;
    }

    /**
     * Lists the results that a stage reads.
     *
     * @param stage index of the stage
     * @return handles, ordered by stage and piece
     */
    public List<String> inputs(int stage) {
        List<String> inputs = new ArrayList<>();
        collectInputs(mStages.get(stage).after(), inputs, new HashSet<>());
        return inputs;
    }

    /** Returns whether all stages are complete, so that the request itself can run. */
    public boolean isComplete() {
        for (int stage = 0; stage < mHandles.length; stage++) {
            if (!isStageComplete(stage)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Lists the results that the request itself reads, which are those of the stages without
     * followers.
     *
     * @return handles, ordered by stage and piece
     */
    public List<String> outputHandles() {
        Set<Integer> followed = new HashSet<>();
        for (int stage = 0; stage < mHandles.length; stage++) {
            if (mHandles[stage].length > 0) {
                followed.addAll(mStages.get(stage).after());
            }
        }
        List<String> handles = new ArrayList<>();
        for (int stage = 0; stage < mHandles.length; stage++) {
            if (!followed.contains(stage)) {
                handles.addAll(List.of(mHandles[stage]));
            }
        }
        return handles;
    }

    /**
     * Returns the results of stages whose readers are all complete. Each result is returned only
     * once.
     *
     * @return handles of results that are no longer needed
     */
    public List<String> pollConsumedHandles() {
        List<String> consumed = new ArrayList<>();
        for (int stage = 0; stage < mHandles.length; stage++) {
            if (!mConsumed[stage] && mHandles[stage].length > 0 && allReadersComplete(stage)) {
                mConsumed[stage] = true;
                consumed.addAll(List.of(mHandles[stage]));
            }
        }
        return consumed;
    }

    private boolean allReadersComplete(int stage) {
        boolean read = false;
        for (int reader = 0; reader < mHandles.length; reader++) {
            if (mStages.get(reader).after().contains(stage)) {
                // A skipped stage passes its inputs on to its own readers, so the results are
                // retained.
                if (mHandles[reader].length == 0 || !isStageComplete(reader)) {
                    return false;
                }
                read = true;
            }
        }
        return read;
    }

    /**
     * Lists all available results that were not yet returned as consumed.
     *
     * @return handles of the results
     */
    public List<String> retainedHandles() {
        List<String> handles = new ArrayList<>();
        for (int stage = 0; stage < mHandles.length; stage++) {
            for (String handle : mHandles[stage]) {
                if (handle != null && !mConsumed[stage]) {
                    handles.add(handle);
                }
            }
        }
        return handles;
    }

    /**
     * Collects the results of the given stages. Skipped stages are replaced by the stages before
     * them.
     */
    private void collectInputs(List<Integer> stages, List<String> inputs, Set<Integer> seen) {
        for (int stage : stages) {
            if (!seen.add(stage)) {
                continue;
            }
            if (mHandles[stage].length == 0) {
                collectInputs(mStages.get(stage).after(), inputs, seen);
            } else {
                inputs.addAll(List.of(mHandles[stage]));
            }
        }
    }

    private boolean isComplete(int stage) {
        return isStageComplete(stage)
                && mStages.get(stage).after().stream().allMatch(this::isComplete);
    }

    /**
     * Returns whether all results of a stage are available; true if it has no pieces.
     *
     * @param stage index of the stage
     */
    public boolean isStageComplete(int stage) {
        for (String handle : mHandles[stage]) {
            if (handle == null) {
                return false;
            }
        }
        return true;
    }
}
