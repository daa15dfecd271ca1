package org.wasabilug.internal.deadline;

import java.util.Comparator;

/** Order in which waiting calls start. */
public sealed interface QueueOrder {
    /** Orders calls by deadline, earliest first. */
    record EarliestDeadline() implements QueueOrder {}

    /** Orders calls by latest start time, earliest first. */
    record LeastSlack() implements QueueOrder {}

    /** Orders calls by expected remaining duration, shortest first. */
    record ShortestRemainingWork() implements QueueOrder {}

    /**
     * Weighted fair sharing between workspaces.
     *
     * @param within order of the calls of one workspace
     */
    record WeightedShares(QueueOrder within) implements QueueOrder {
        /** Orders the calls of each workspace so that the least work is wasted under overload. */
        public WeightedShares() {
            this(new ShortestRemainingWork());
        }
    }

    /**
     * Returns a total order of the calls within one group; ties are broken by request and stage.
     */
    default Comparator<WaitingCall> comparator() {
        Comparator<WaitingCall> first =
                switch (this) {
                    case EarliestDeadline() -> Comparator.comparingLong(WaitingCall::deadlineNanos);
                    case ShortestRemainingWork() ->
                            Comparator.comparingLong(WaitingCall::expectedNanos)
                                    .thenComparingLong(WaitingCall::latestStartNanos);
                    case LeastSlack() -> Comparator.comparingLong(WaitingCall::latestStartNanos);
                    case WeightedShares(QueueOrder within) -> within.comparator();
                };
        return first.thenComparing(call -> call.request().toString())
                .thenComparing(call -> call.stage().toString());
    }

    /** Returns whether each workspace has its own queue, which is true for weighted shares. */
    default boolean separatesWorkspaces() {
        return this instanceof WeightedShares;
    }
}
