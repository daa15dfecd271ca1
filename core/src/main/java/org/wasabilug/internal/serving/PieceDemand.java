package org.wasabilug.internal.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wasabilug.serving.RouteStage;
import org.wasabilug.serving.StageCapacity;

/**
 * What the stages of one request ask for. The numbers of pieces are only stated, so nothing is made
 * for them before it is known that they can be served.
 */
public final class PieceDemand {
    /** Work, place in a queue and receiver of the outcome, and the message to another instance. */
    private static final long PIECE_BYTES = 2_048;

    /** Handle of an input in the message and the call with one piece, here and at the receiver. */
    private static final long INPUT_BYTES = 256;

    /** Length of the shortest handle in a list, such as "1.1.1.1:1/a,". */
    private static final int MIN_HANDLE_BYTES = 12;

    private final List<RouteStage> mStages;
    private final List<Integer> mPieces;

    /**
     * Creates a demand.
     *
     * @param stages stages of the route
     * @param pieces number of pieces of each stage; a missing number counts as 0
     */
    public PieceDemand(List<RouteStage> stages, List<Integer> pieces) {
        mStages = List.copyOf(stages);
        mPieces = List.copyOf(pieces);
    }

    /**
     * Returns how many pieces without inputs fit into memory.
     *
     * @param bytes the memory in bytes
     */
    public static long piecesWithin(long bytes) {
        return bytes / PIECE_BYTES;
    }

    /** Capacity of the endpoints that serve a stage now. */
    public record Supply(StageCapacity capacity, int endpoints) {
        private double leastMillis(int pieces) {
            long parallel = (long) endpoints * capacity.parallelCalls();
            if (parallel == 0 || capacity.piecesPerCall() == 0) {
                return 0;
            }
            long calls = Math.ceilDiv(pieces, capacity.piecesPerCall());
            double work = calls * capacity.callMillis() + pieces * capacity.pieceMillis();
            return work / parallel;
        }
    }

    /**
     * Returns whether the handles of all results fit the head of one request. The results of some
     * stages are read by other stages; these have to fit as well.
     *
     * @param headBytes maximum size of a head in bytes
     */
    public boolean fitsHead(int headBytes) {
        return pieceCount() <= headBytes / MIN_HANDLE_BYTES;
    }

    /** Returns the number of pieces of all stages. */
    public long pieceCount() {
        long count = 0;
        for (int stage = 0; stage < mStages.size(); stage++) {
            count += pieces(stage);
        }
        return count;
    }

    /** Returns the memory that the pieces take while they are under way, in bytes. */
    public long memoryBytes() {
        long bytes = 0;
        for (int stage = 0; stage < mStages.size(); stage++) {
            long inputs = inputs(stage, new HashSet<>());
            bytes += pieces(stage) * (PIECE_BYTES + inputs * INPUT_BYTES);
        }
        return bytes;
    }

    /** Counts the results that a stage reads; of a skipped stage, those that it would read. */
    private long inputs(int stage, Set<Integer> counted) {
        long inputs = 0;
        for (int before : mStages.get(stage).after()) {
            if (counted.add(before)) {
                inputs += pieces(before) > 0 ? pieces(before) : inputs(before, counted);
            }
        }
        return inputs;
    }

    /**
     * Returns the time that the pieces of the largest stage take if its endpoints serve no others,
     * in milliseconds; 0 where no endpoint is known.
     *
     * @param supply finds what serves a stage
     */
    public double leastMillis(Supplies supply) {
        double longest = 0;
        for (int stage = 0; stage < mStages.size(); stage++) {
            Supply ofStage = supply.of(mStages.get(stage).service());
            longest = Math.max(longest, ofStage.leastMillis(pieces(stage)));
        }
        return longest;
    }

    /** Finds what serves a stage. */
    public interface Supplies {
        /**
         * Returns the capacity of a service.
         *
         * @param service name of the service
         */
        Supply of(String service);
    }

    private int pieces(int stage) {
        return stage < mPieces.size() ? Math.max(0, mPieces.get(stage)) : 0;
    }
}
