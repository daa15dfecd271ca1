package org.wasabilug.internal.instance;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.model.EndpointName;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.PeerMessage;

/** Decision core that dispatches events to the components of an entry instance. */
public final class InstanceCore implements DecisionCore {
    private final InstanceSettings mSettings;
    private final InstanceComponents mComponents;
    private final WakeUpSchedule mWakeUps = new WakeUpSchedule();
    private final RunningAttempts mAttempts = new RunningAttempts();
    private final LoadPolling mPolling = new LoadPolling();
    private final ColdDemand mDemand = new ColdDemand();
    private final PlannedStop mStop = new PlannedStop();
    private final PeerUpdates mPeerUpdates;
    private Configuration mAppliedConfiguration;

    /**
     * Creates a core. It starts with the first {@link InstanceEvent.TimerFired}.
     *
     * @param settings settings of the instance
     */
    public InstanceCore(InstanceSettings settings) {
        mSettings = settings;
        mComponents = new InstanceComponents(settings, mAttempts);
        mPeerUpdates = new PeerUpdates(mComponents);
        mAppliedConfiguration = mComponents.configuration();
    }

    @Override
    public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        List<InstanceAction> actions = new ArrayList<>();
        mWakeUps.discardDue(nowNanos);
        mAttempts.expireCancellations(nowNanos);
        handleControlEvent(event, nowNanos, actions);
        applyObservation(event, nowNanos, actions);
        if (event instanceof InstanceEvent.TimerFired) {
            tick(nowNanos, actions);
        }
        applyConfigurationChange(nowNanos);
        execute(event, nowNanos, actions);
        advanceStop(nowNanos, actions);
        scheduleWakeUp(nowNanos, actions);
        return actions;
    }

    private void handleControlEvent(
            InstanceEvent event, long nowNanos, List<InstanceAction> actions) {
        actions.addAll(mComponents.lease().handle(event, nowNanos));
        actions.addAll(mComponents.grants().handle(event, nowNanos));
        actions.addAll(mComponents.orders().handle(event, nowNanos));
        actions.addAll(mComponents.tickets().handle(event, nowNanos));
        actions.addAll(mComponents.feed().handle(event, nowNanos).actions());
        // Last, because it sends peers the changes made by the components above.
        actions.addAll(mComponents.membership().handle(event, nowNanos));
    }

    /** Passes observations of endpoints and peers to the components that use them. */
    private void applyObservation(
            InstanceEvent event, long nowNanos, List<InstanceAction> actions) {
        mAttempts
                .recordAttemptEnd(event)
                .ifPresent(
                        endpoint -> mComponents.grants().recordPossibleRestart(endpoint, nowNanos));
        switch (event) {
            case InstanceEvent.LoadReported reported -> {
                mComponents
                        .grants()
                        .recordLoadReport(reported.endpoint(), reported.report(), nowNanos);
                mComponents
                        .quarantine()
                        .recordLoadReport(reported.endpoint(), reported.report(), nowNanos);
                mComponents
                        .router()
                        .applyLoadReport(reported.endpoint(), reported.report(), nowNanos);
            }
            case InstanceEvent.CacheEventsArrived cache ->
                    mComponents
                            .router()
                            .applyCacheEvents(cache.endpoint(), cache.events(), nowNanos);
            case InstanceEvent.InstanceListAnswered answered -> {
                if (answered.outcome() instanceof ListOutcome.Listed listed) {
                    mComponents.router().applyInstanceList(listed.instances());
                }
            }
            case InstanceEvent.PeerMessageReceived received -> applyPeerMessage(received, nowNanos);
            default -> {
                // Other events carry no observations.
            }
        }
    }

    private void applyPeerMessage(InstanceEvent.PeerMessageReceived received, long nowNanos) {
        if (received.message() instanceof PeerMessage.Usage usage) {
            mComponents.admission().applyPeerUsage(received.sender(), usage.usage(), nowNanos);
        } else if (received.message() instanceof PeerMessage.Crashes crashes) {
            mComponents.quarantine().applyPeerEvidence(crashes.crashes(), nowNanos);
        }
    }

    private void tick(long nowNanos, List<InstanceAction> actions) {
        updateInstanceCount(nowNanos);
        if (mPolling.isDue(nowNanos)) {
            mDemand.recordWaiting(mComponents.waiting().pools());
            mDemand.reportTo(
                    mComponents.router().watchedEndpoints(),
                    mComponents.configuration(),
                    mComponents.grants(),
                    nowNanos);
            List<EndpointName> watched = mComponents.router().watchedEndpoints();
            mComponents.grants().setReportInterval(LoadPolling.roundNanos(watched.size()));
            actions.addAll(mPolling.poll(watched, mComponents.configuration(), nowNanos));
        }
        actions.addAll(mComponents.lease().tick(nowNanos));
        actions.addAll(mComponents.grants().tick(nowNanos));
        actions.addAll(mComponents.orders().tick(nowNanos));
        if (mPeerUpdates.isDue(nowNanos)) {
            actions.addAll(mPeerUpdates.publish(nowNanos));
        }
    }

    private void updateInstanceCount(long nowNanos) {
        int count = mComponents.membership().instanceCountEstimate(nowNanos);
        mComponents.router().setInstanceCount(count);
        mComponents.admission().setInstanceCount(count);
        mComponents.feed().setInstanceCount(count);
    }

    /** Notifies the components if the feed or a peer has changed the configuration. */
    private void applyConfigurationChange(long nowNanos) {
        Configuration current = mComponents.configuration();
        if (current != mAppliedConfiguration) {
            mAppliedConfiguration = current;
            mComponents.router().configurationChanged(nowNanos);
            mComponents.grants().configurationChanged(current, nowNanos);
            mComponents.orders().configurationChanged(current);
            mComponents.quarantine().configurationChanged(current);
        }
    }

    private void execute(InstanceEvent event, long nowNanos, List<InstanceAction> actions) {
        List<InstanceAction> executed = mComponents.executor().handle(event, nowNanos);
        mAttempts.recordActions(executed, nowNanos);
        mDemand.recordActions(executed, mAppliedConfiguration);
        for (InstanceAction action : executed) {
            if (action instanceof InstanceAction.FinishStop) {
                beginRelease(nowNanos, actions);
            } else {
                actions.add(action);
            }
        }
        actions.addAll(mPeerUpdates.publishCrashes(nowNanos));
    }

    private void beginRelease(long nowNanos, List<InstanceAction> actions) {
        mStop.beginRelease(nowNanos);
        actions.addAll(mComponents.grants().release(nowNanos));
        actions.addAll(mComponents.lease().release(nowNanos));
    }

    private void advanceStop(long nowNanos, List<InstanceAction> actions) {
        if (mStop.tryFinish(mComponents.lease().isReleased(), nowNanos)) {
            actions.add(new InstanceAction.FinishStop());
        }
    }

    private void scheduleWakeUp(long nowNanos, List<InstanceAction> actions) {
        List<InstanceAction> wakes =
                actions.stream().filter(InstanceAction.ScheduleWakeUp.class::isInstance).toList();
        actions.removeAll(wakes);
        wakes.forEach(wake -> mWakeUps.request(((InstanceAction.ScheduleWakeUp) wake).atNanos()));
        mWakeUps.next(nextComponentWakeNanos(nowNanos))
                .ifPresent(atNanos -> actions.add(new InstanceAction.ScheduleWakeUp(atNanos)));
    }

    private long nextComponentWakeNanos(long nowNanos) {
        long next = mComponents.executor().nextTimerNanos().orElse(Long.MAX_VALUE);
        next = Math.min(next, mComponents.lease().nextWakeNanos());
        next = Math.min(next, mComponents.grants().nextWakeNanos());
        next = Math.min(next, mComponents.ledger().nextWakeNanos());
        next = Math.min(next, mComponents.orders().nextWakeNanos(nowNanos));
        next = Math.min(next, mPolling.nextWakeNanos(nowNanos));
        next = Math.min(next, mPeerUpdates.nextWakeNanos(nowNanos));
        return Math.min(next, mStop.nextWakeNanos());
    }

    @Override
    public Configuration configuration() {
        return mComponents.configuration();
    }

    @Override
    public InstanceStatus status(long nowNanos) {
        return StatusReport.of(mSettings, mComponents, nowNanos);
    }
}
