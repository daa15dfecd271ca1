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
    private final boolean[] mTaken;

    /**
     * Starts at the beginning.
     *
     * @param stages stages of the route
     * @param pieceCount pieces of each stage; missing ones count as 0, which leaves the stage out
     */
    public StageGraph(List<RouteStage> stages, List<Integer> pieces) {
        mStages = stages;
        mStarted = new boolean[stages.size()];
        mTaken = new boolean[stages.size()];
        mHandles = new String[stages.size()][];
        for (int stage = 0; stage < stages.size(); stage++) {
            int count = stage < pieces.size() ? pieces.get(stage) : 0;
            mHandles[stage] = new String[Math.max(0, count)];
        }
    }

    /**
     * Takes the stages whose inputs are complete and that were not taken before.
     *
     * @return their positions
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
     * Notes a result; a second one of the same piece is ignored.
     *
     * @param stage position of the stage
     * @param piece position of the piece
     * @param handle the result
     * @return true where it was the first
     */
    public boolean recordResult(int stage, int piece, String handle) {
        if (mHandles[stage][piece] != null) {
            return false;
        }
        mHandles[stage][piece] = handle;
        return true;
    }

    /**
     * Counts the pieces of a stage.
     *
     * @param stage position of the stage
     * @return their number
     */
    public int pieceCount(int stage) {
        return mHandles[stage].length;
    }

    /**
     * Lists the results that a stage reads.
     *
     * @param stage position of the stage
     * @return handles in order of stages and pieces
     */
    public List<String> inputs(int stage) {
        List<String> inputs = new ArrayList<>();
        collect(mStages.get(stage).after(), inputs, new HashSet<>());
        return inputs;
    }

    /**
     * Tells whether all stages are done.
     *
     * @return true once the request itself may run
     */
    public boolean isComplete() {
        for (int stage = 0; stage < mHandles.length; stage++) {
            if (!ownComplete(stage)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Lists the results that the request itself reads: those of stages that no other follows.
     *
     * @return handles in order of stages and pieces
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
     * Takes the results that only stages have read that are complete now; each is taken once.
     *
     * @return handles that are no longer needed
     */
    public List<String> pollConsumedHandles() {
        List<String> finished = new ArrayList<>();
        for (int stage = 0; stage < mHandles.length; stage++) {
            if (!mTaken[stage] && mHandles[stage].length > 0 && allReadersComplete(stage)) {
                mTaken[stage] = true;
                finished.addAll(List.of(mHandles[stage]));
            }
        }
        return finished;
    }

    private boolean allReadersComplete(int stage) {
        boolean read = false;
        for (int reader = 0; reader < mHandles.length; reader++) {
            if (mStages.get(reader).after().contains(stage)) {
                // A stage that is left out passes its inputs on, so its readers count instead.
                if (mHandles[reader].length == 0 || !ownComplete(reader)) {
                    return false;
                }
                read = true;
            }
        }
        return read;
    }

    /**
     * Lists all results made so far that were not taken as finished.
     *
     * @return handles
     */
    public List<String> retainedHandles() {
        List<String> handles = new ArrayList<>();
        for (int stage = 0; stage < mHandles.length; stage++) {
            for (String handle : mHandles[stage]) {
                if (handle != null && !mTaken[stage]) {
                    handles.add(handle);
                }
            }
        }
        return handles;
    }

    /** Reads through stages that are left out to the ones before them. */
    private void collect(List<Integer> stages, List<String> inputs, Set<Integer> seen) {
        for (int stage : stages) {
            if (!seen.add(stage)) {
                continue;
            }
            if (mHandles[stage].length == 0) {
                collect(mStages.get(stage).after(), inputs, seen);
            } else {
                inputs.addAll(List.of(mHandles[stage]));
            }
        }
    }

    private boolean isComplete(int stage) {
        return ownComplete(stage) && mStages.get(stage).after().stream().allMatch(this::isComplete);
    }

    private boolean ownComplete(int stage) {
        for (String handle : mHandles[stage]) {
            if (handle == null) {
                return false;
            }
        }
        return true;
    }
}
