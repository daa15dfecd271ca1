package org.wasabilug.internal.instance;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.configuration.ConfigurationState;
import org.wasabilug.internal.deadline.LearnedStagePlanner;
import org.wasabilug.internal.deadline.SlackWaitingCalls;
import org.wasabilug.internal.execution.ExecutionParts;
import org.wasabilug.internal.execution.RequestExecutor;
import org.wasabilug.internal.feed.ConfigurationFeed;
import org.wasabilug.internal.grant.ColdStartGrants;
import org.wasabilug.internal.lease.SessionLease;
import org.wasabilug.internal.ledger.LedgerSettings;
import org.wasabilug.internal.ledger.TableLedger;
import org.wasabilug.internal.limit.AdmissionSettings;
import org.wasabilug.internal.limit.DistributedWorkspaceAdmission;
import org.wasabilug.internal.membership.Membership;
import org.wasabilug.internal.order.EngineReconciler;
import org.wasabilug.internal.order.ReconcilerSettings;
import org.wasabilug.internal.quarantine.CrashQuarantine;
import org.wasabilug.internal.quarantine.QuarantineSettings;
import org.wasabilug.internal.retry.BudgetedRetryPolicy;
import org.wasabilug.internal.retry.RetrySettings;
import org.wasabilug.internal.routing.AdaptiveRouter;
import org.wasabilug.internal.ticket.TicketAcceptance;

/** Makes and holds the parts of one instance. */
final class InstanceParts {
    private final UniformRandomProvider mRandom;
    private final ConfigurationState mState = new ConfigurationState();
    private final SessionLease mLease;
    private final ColdStartGrants mGrants;
    private final TableLedger mLedger;
    private final CrashQuarantine mQuarantine;
    private final EngineReconciler mOrders;
    private final ConfigurationFeed mFeed;
    private final TicketAcceptance mTickets;
    private final Membership mMembership;
    private final AdaptiveRouter mRouter;
    private final DistributedWorkspaceAdmission mAdmission;
    private final SlackWaitingCalls mWaiting;
    private final RequestExecutor mExecutor;

    InstanceParts(InstanceSettings settings, RunningAttempts attempts) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
        String incarnation = settings.name() + "-" + settings.incarnation();
        mLease =
                SessionLease.builder()
                        .instance(settings.name())
                        .incarnation(incarnation)
                        .random(mRandom)
                        .build();
        mGrants =
                ColdStartGrants.builder()
                        .lease(mLease)
                        .random(mRandom)
                        .callsInFlight(attempts::countAt)
                        .cancelledCalls(attempts::cancelledAt)
                        .build();
        mLedger = new TableLedger(incarnation, mRandom, LedgerSettings.DEFAULT);
        mQuarantine = new CrashQuarantine(QuarantineSettings.DEFAULT);
        mOrders = new EngineReconciler(mLease, mRandom, ReconcilerSettings.DEFAULT);
        mFeed = new ConfigurationFeed(mState, mRandom);
        mTickets = new TicketAcceptance(mFeed, mRandom);
        mMembership = makeMembership(settings);
        mRouter =
                AdaptiveRouter.builder()
                        .instance(settings.name())
                        .localDomain(settings.failureDomain())
                        .coldStartGate(mGrants)
                        .configuration(mState::configuration)
                        .random(mRandom)
                        .settings(settings.routing())
                        .build();
        mAdmission = new DistributedWorkspaceAdmission(AdmissionSettings.defaults());
        mWaiting = new SlackWaitingCalls(settings.queueOrder(), settings.queueCapacityPerPool());
        mExecutor = makeExecutor();
    }

    private Membership makeMembership(InstanceSettings settings) {
        return Membership.builder()
                .name(settings.name())
                .failureDomain(settings.failureDomain())
                .incarnation(settings.incarnation())
                .seeds(settings.peerSeeds())
                .state(mState)
                .feedSequence(mFeed::sequence)
                .configurationAge(mFeed::ageNanos)
                .random(mRandom)
                .build();
    }

    private RequestExecutor makeExecutor() {
        return new RequestExecutor(
                new ExecutionParts(
                        mState::configuration,
                        mRouter,
                        mAdmission,
                        new LearnedStagePlanner(),
                        mWaiting,
                        new BudgetedRetryPolicy(RetrySettings.builder().build(), mRandom),
                        mLedger,
                        mQuarantine,
                        mGrants));
    }

    Configuration configuration() {
        return mState.configuration();
    }

    SessionLease lease() {
        return mLease;
    }

    ColdStartGrants grants() {
        return mGrants;
    }

    TableLedger ledger() {
        return mLedger;
    }

    CrashQuarantine quarantine() {
        return mQuarantine;
    }

    EngineReconciler orders() {
        return mOrders;
    }

    ConfigurationFeed feed() {
        return mFeed;
    }

    TicketAcceptance tickets() {
        return mTickets;
    }

    Membership membership() {
        return mMembership;
    }

    AdaptiveRouter router() {
        return mRouter;
    }

    DistributedWorkspaceAdmission admission() {
        return mAdmission;
    }

    SlackWaitingCalls waiting() {
        return mWaiting;
    }

    RequestExecutor executor() {
        return mExecutor;
    }
}
