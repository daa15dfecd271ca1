package org.wasabilug.internal.deadline;

import java.util.Comparator;

/** Order in which waiting calls start. */
public sealed interface QueueOrder {
    /** The call whose answer is due first. */
    record EarliestDeadline() implements QueueOrder {}

    /** The call that must start first to make its deadline. */
    record LeastSlack() implements QueueOrder {}

    /** The call with the least time left to run. */
    record ShortestRemainingWork() implements QueueOrder {}

    /**
     * Weighted fair shares between workspaces.
     *
     * @param within order of the calls of one workspace
     */
    record WeightedShares(QueueOrder within) implements QueueOrder {
        /** Shares with the order that wastes least under overload. */
        public WeightedShares() {
            this(new ShortestRemainingWork());
        }
    }

    /**
     * Order of calls within one group; ties go by request and stage, so that it is total.
     *
     * @return the comparator
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

    /**
     * Tells whether each workspace has a queue of its own.
     *
     * @return true for weighted shares
     */
    default boolean separatesWorkspaces() {
        return this instanceof WeightedShares;
    }
}
