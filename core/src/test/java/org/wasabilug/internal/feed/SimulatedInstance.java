package org.wasabilug.internal.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.configuration.ConfigurationState;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.internal.membership.Membership;
import org.wasabilug.internal.ticket.TicketAcceptance;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.port.VersionedObject;

/** The configuration components of one instance, running in virtual time. */
final class SimulatedInstance {
    final InstanceName mName;
    final FailureDomainName mFailureDomain;
    final ConfigurationState mState = new ConfigurationState();
    final ConfigurationFeed mFeed;
    final Membership mMembership;
    private final TicketAcceptance mAcceptance;
    private final SimulatedFleet mFleet;
    private final Map<Long, Consumer<TicketAnswer>> mSubmissions = new HashMap<>();
    private final Map<ObjectKey, Long> mActiveTickets = new HashMap<>();
    private Configuration mChecked = Configuration.empty();
    private long mLastSubmission;
    private boolean mStopped;

    SimulatedInstance(SimulatedFleet fleet, int number, long incarnation, List<String> seeds) {
        mFleet = fleet;
        mName = new InstanceName("entry-" + number);
        mFailureDomain = fleet.domainOf(number);
        long seed = fleet.seed() * 1_000_003 + number * 31L + incarnation;
        mFeed = new ConfigurationFeed(mState, RandomSource.SPLIT_MIX_64.create(seed));
        mAcceptance = new TicketAcceptance(mFeed, RandomSource.SPLIT_MIX_64.create(seed + 1));
        mMembership =
                Membership.builder()
                        .name(mName)
                        .failureDomain(mFailureDomain)
                        .incarnation(incarnation)
                        .seeds(seeds)
                        .state(mState)
                        .feedSequence(mFeed::sequence)
                        .random(RandomSource.SPLIT_MIX_64.create(seed + 2))
                        .build();
    }

    void stop() {
        mStopped = true;
    }

    void submit(ChangeTicket ticket, Consumer<TicketAnswer> answer) {
        mLastSubmission++;
        mSubmissions.put(mLastSubmission, answer);
        handle(new InstanceEvent.TicketSubmitted(mLastSubmission, ticket));
    }

    void handle(InstanceEvent event) {
        if (mStopped) {
            return;
        }
        long nowNanos = mFleet.clock().nowNanos();
        perform(mAcceptance.handle(event, nowNanos));
        perform(mFeed.handle(event, nowNanos).actions());
        perform(mMembership.handle(event, nowNanos));
        if (event instanceof InstanceEvent.InstanceListAnswered) {
            mFeed.setInstanceCount(mMembership.instanceCountEstimate(nowNanos));
        }
        checkNothingReverted();
    }

    private void checkNothingReverted() {
        Configuration configuration = mState.configuration();
        if (configuration != mChecked) {
            mChecked = configuration;
            for (VersionedObject object : configuration.objects()) {
                Long before = mActiveTickets.put(object.key(), object.ticketNumber());
                assertThat(object.ticketNumber())
                        .isGreaterThanOrEqualTo(before == null ? 0 : before);
            }
            assertThat(configuration.objects()).hasSize(mActiveTickets.size());
        }
    }

    private void perform(List<InstanceAction> actions) {
        SimulatedPlatform platform = mFleet.platform();
        for (InstanceAction action : actions) {
            switch (action) {
                case InstanceAction.CommitTable commit -> platform.commit(commit, this);
                case InstanceAction.ReadTable read -> platform.read(read, this);
                case InstanceAction.ReadObject read -> platform.readObject(read, this);
                case InstanceAction.WriteObject write -> platform.writeObject(write, this);
                case InstanceAction.ReadInstanceList read -> platform.readList(read, this);
                case InstanceAction.SendToPeer send -> mFleet.deliver(this, send);
                case InstanceAction.AnswerTicket answer ->
                        mSubmissions.remove(answer.submission()).accept(answer.answer());
                case InstanceAction.ScheduleWakeUp wake ->
                        mFleet.clock()
                                .schedule(
                                        wake.atNanos(),
                                        () -> handle(new InstanceEvent.TimerFired()));
                default -> throw new AssertionError(action);
            }
        }
    }
}
