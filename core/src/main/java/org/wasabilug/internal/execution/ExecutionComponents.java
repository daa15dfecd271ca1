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
 * The decisions that the execution of requests relies on.
 *
 * @param configuration configuration in force
 * @param router chooses endpoints
 * @param admission holds workspaces to their limits
 * @param planner splits deadlines
 * @param waiting calls that wait for room
 * @param retries decides on retries
 * @param ledger claims of stages that may not be repeated
 * @param crashes ties crashes to content
 * @param coldStart bounds calls at endpoints in cold start
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
