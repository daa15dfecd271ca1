package org.wasabilug.internal.instance;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.model.EndpointName;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.PeerMessage;

/** Joins the parts of an entry instance into one decision core. */
public final class InstanceCore implements DecisionCore {
    private final InstanceSettings mSettings;
    private final InstanceParts mParts;
    private final WakePlan mWakes = new WakePlan();
    private final RunningAttempts mAttempts = new RunningAttempts();
    private final LoadPolling mPolling = new LoadPolling();
    private final ColdDemand mDemand = new ColdDemand();
    private final PlannedStop mStop = new PlannedStop();
    private final PeerSharing mSharing;
    private Configuration mKnown;

    /**
     * Creates a core that has seen no event; send it {@code TimerFired} to start it.
     *
     * @param settings name, failure domain, seed and policies
     */
    public InstanceCore(InstanceSettings settings) {
        mSettings = settings;
        mParts = new InstanceParts(settings, mAttempts);
        mSharing = new PeerSharing(mParts);
        mKnown = mParts.configuration();
    }

    @Override
    public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        List<InstanceAction> actions = new ArrayList<>();
        mWakes.passed(nowNanos);
        mAttempts.timePassed(nowNanos);
        takeControlEvent(event, nowNanos, actions);
        learn(event, nowNanos, actions);
        if (event instanceof InstanceEvent.TimerFired) {
            tick(nowNanos, actions);
        }
        followConfiguration(nowNanos);
        execute(event, nowNanos, actions);
        advanceStop(nowNanos, actions);
        planWake(nowNanos, actions);
        return actions;
    }

    private void takeControlEvent(
            InstanceEvent event, long nowNanos, List<InstanceAction> actions) {
        actions.addAll(mParts.lease().handle(event, nowNanos));
        actions.addAll(mParts.grants().handle(event, nowNanos));
        actions.addAll(mParts.orders().handle(event, nowNanos));
        actions.addAll(mParts.tickets().handle(event, nowNanos));
        actions.addAll(mParts.feed().handle(event, nowNanos).actions());
        // Last, since it tells peers what the parts before it have changed.
        actions.addAll(mParts.membership().handle(event, nowNanos));
    }

    /** Hands observations of endpoints and peers to the parts that learn from them. */
    private void learn(InstanceEvent event, long nowNanos, List<InstanceAction> actions) {
        mAttempts
                .lostEndpoint(event)
                .ifPresent(endpoint -> mParts.grants().evidenceOfRestart(endpoint, nowNanos));
        switch (event) {
            case InstanceEvent.LoadReported reported -> {
                mParts.grants().reported(reported.endpoint(), reported.report(), nowNanos);
                mParts.quarantine().reported(reported.endpoint(), reported.report(), nowNanos);
                mParts.router().applyLoadReport(reported.endpoint(), reported.report(), nowNanos);
            }
            case InstanceEvent.CacheEventsArrived cache ->
                    mParts.router().applyCacheEvents(cache.endpoint(), cache.events(), nowNanos);
            case InstanceEvent.InstanceListAnswered answered -> {
                if (answered.outcome() instanceof ListOutcome.Listed listed) {
                    mParts.router().applyInstanceList(listed.instances());
                }
            }
            case InstanceEvent.PeerMessageReceived spoke -> learnFromPeer(spoke, nowNanos);
            default -> {
                // Nothing to learn from other events.
            }
        }
    }

    private void learnFromPeer(InstanceEvent.PeerMessageReceived spoke, long nowNanos) {
        if (spoke.message() instanceof PeerMessage.Usage usage) {
            mParts.admission().applyPeerUsage(spoke.sender(), usage.usage(), nowNanos);
        } else if (spoke.message() instanceof PeerMessage.Crashes crashes) {
            mParts.quarantine().heard(crashes.crashes(), nowNanos);
        }
    }

    private void tick(long nowNanos, List<InstanceAction> actions) {
        shareLimits(nowNanos);
        if (mPolling.isDue(nowNanos)) {
            mDemand.noteWaiting(mParts.waiting().pools());
            mDemand.ask(
                    mParts.router().watchedEndpoints(),
                    mParts.configuration(),
                    mParts.grants(),
                    nowNanos);
            List<EndpointName> watched = mParts.router().watchedEndpoints();
            mParts.grants().reportsEvery(LoadPolling.roundNanos(watched.size()));
            actions.addAll(mPolling.poll(watched, mParts.configuration(), nowNanos));
        }
        actions.addAll(mParts.lease().tick(nowNanos));
        actions.addAll(mParts.grants().tick(nowNanos));
        actions.addAll(mParts.orders().tick(nowNanos));
        if (mSharing.isDue(nowNanos)) {
            actions.addAll(mSharing.share(nowNanos));
        }
    }

    private void shareLimits(long nowNanos) {
        int count = mParts.membership().instanceCountEstimate(nowNanos);
        mParts.router().setInstanceCount(count);
        mParts.admission().setInstanceCount(count);
        mParts.feed().setInstanceCount(count);
    }

    /** Tells the parts of a configuration that the feed or a peer has brought. */
    private void followConfiguration(long nowNanos) {
        Configuration now = mParts.configuration();
        if (now != mKnown) {
            mKnown = now;
            mParts.router().configurationChanged(nowNanos);
            mParts.grants().configurationChanged(now, nowNanos);
            mParts.orders().configurationChanged(now);
            mParts.quarantine().configurationChanged(now);
        }
    }

    private void execute(InstanceEvent event, long nowNanos, List<InstanceAction> actions) {
        List<InstanceAction> executed = mParts.executor().handle(event, nowNanos);
        mAttempts.noteActions(executed, nowNanos);
        mDemand.noteActions(executed, mKnown);
        for (InstanceAction action : executed) {
            if (action instanceof InstanceAction.FinishStop) {
                beginRelease(nowNanos, actions);
            } else {
                actions.add(action);
            }
        }
        actions.addAll(mSharing.shareCrashes(nowNanos));
    }

    private void beginRelease(long nowNanos, List<InstanceAction> actions) {
        mStop.beginRelease(nowNanos);
        actions.addAll(mParts.grants().release(nowNanos));
        actions.addAll(mParts.lease().release(nowNanos));
    }

    private void advanceStop(long nowNanos, List<InstanceAction> actions) {
        if (mStop.finishes(mParts.lease().isReleased(), nowNanos)) {
            actions.add(new InstanceAction.FinishStop());
        }
    }

    private void planWake(long nowNanos, List<InstanceAction> actions) {
        List<InstanceAction> wakes =
                actions.stream().filter(InstanceAction.ScheduleWakeUp.class::isInstance).toList();
        actions.removeAll(wakes);
        wakes.forEach(wake -> mWakes.want(((InstanceAction.ScheduleWakeUp) wake).atNanos()));
        mWakes.next(nextPartNanos(nowNanos))
                .ifPresent(atNanos -> actions.add(new InstanceAction.ScheduleWakeUp(atNanos)));
    }

    private long nextPartNanos(long nowNanos) {
        long next = mParts.executor().nextTimerNanos().orElse(Long.MAX_VALUE);
        next = Math.min(next, mParts.lease().nextWakeNanos());
        next = Math.min(next, mParts.grants().nextWakeNanos());
        next = Math.min(next, mParts.ledger().nextWakeNanos());
        next = Math.min(next, mParts.orders().nextWakeNanos(nowNanos));
        next = Math.min(next, mPolling.nextWakeNanos(nowNanos));
        next = Math.min(next, mSharing.nextWakeNanos(nowNanos));
        return Math.min(next, mStop.nextWakeNanos());
    }

    @Override
    public Configuration configuration() {
        return mParts.configuration();
    }

    @Override
    public InstanceStatus status(long nowNanos) {
        return StatusReport.of(mSettings, mParts, nowNanos);
    }
}
