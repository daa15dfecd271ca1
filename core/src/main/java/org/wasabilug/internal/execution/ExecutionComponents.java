package org.wasabilug.internal.execution;

import java.util.function.Supplier;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.deadline.StagePlanner;
import org.wasabilug.internal.deadline.WaitingCalls;
import org.wasabilug.internal.grant.ColdStartGate;
import org.wasabilug.internal.ledger.AtMostOnceLedger;
import org.wasabilug.internal.limit.WorkspaceAdmission;
import org.wasabilug.internal.quarantine.CrashTracker;
import org.wasabilug.internal.retry.RetryPolicy;
import org.wasabilug.internal.routing.EndpointRouter;

/**
 * The components that request execution depends on.
 *
 * @param configuration supplies the active configuration
 * @param router selects endpoints
 * @param admission enforces workspace limits
 * @param planner divides deadlines among stages
 * @param waiting queue of calls that wait for capacity
 * @param retries retry policy
 * @param ledger claims of at-most-once stages
 * @param crashes attributes endpoint crashes to request contents
 * @param coldStart limits calls to endpoints in cold start
 */
public record ExecutionComponents(
        Supplier<Configuration> configuration,
        EndpointRouter router,
        WorkspaceAdmission admission,
        StagePlanner planner,
        WaitingCalls waiting,
        RetryPolicy retries,
        AtMostOnceLedger ledger,
        CrashTracker crashes,
        ColdStartGate coldStart) {}
