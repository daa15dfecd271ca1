package org.wasabilug.internal.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.internal.ticket.TicketCodec;
import org.wasabilug.internal.ticket.TicketRows;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.ObjectChange;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.VersionedObject;

class RacingOperatorsTest {
    private static final int SEEDS = 250;
    private static final int TICKETS = 24;
    private static final int POOLS = 4;
    private static final long RACE_NANOS = TimeUnit.SECONDS.toNanos(20);

    @ParameterizedTest
    @ValueSource(longs = {0, SEEDS, 2 * SEEDS, 3 * SEEDS})
    void losesAndRevertsNoAcceptedTicketUnderFaults(long firstSeed) {
        for (long seed = firstSeed; seed < firstSeed + SEEDS; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(6, 3, seed);
            Map<ChangeTicket, List<TicketAnswer>> answers = new HashMap<>();
            fleet.platform().mLostAnswerShare = 0.15;
            fleet.platform().mDelayedCommitShare = 0.1;
            fleet.mLostMessageShare = 0.1;
            fleet.start();
            scheduleTickets(fleet, answers);
            scheduleOutage(fleet);

            fleet.clock().runFor(RACE_NANOS);
            fleet.platform().mLostAnswerShare = 0;
            fleet.platform().mDelayedCommitShare = 0;
            fleet.clock().runFor(2 * RACE_NANOS);

            checkFeed(fleet, answers, seed);
            checkActive(fleet, seed);
        }
    }

    private static void scheduleTickets(
            SimulatedFleet fleet, Map<ChangeTicket, List<TicketAnswer>> answers) {
        for (int index = 0; index < TICKETS; index++) {
            ChangeTicket ticket = ticket(fleet, 1 + fleet.random().nextInt(2 * TICKETS));
            int submissions = 1 + fleet.random().nextInt(3);
            for (int count = 0; count < submissions; count++) {
                int instance = fleet.random().nextInt(fleet.instances().size());
                fleet.clock()
                        .schedule(
                                fleet.random().nextLong(RACE_NANOS),
                                () ->
                                        fleet.instances()
                                                .get(instance)
                                                .submit(
                                                        ticket,
                                                        answer -> add(answers, ticket, answer)));
            }
        }
    }

    private static void add(
            Map<ChangeTicket, List<TicketAnswer>> answers,
            ChangeTicket ticket,
            TicketAnswer answer) {
        answers.computeIfAbsent(ticket, absent -> new ArrayList<>()).add(answer);
    }

    private static ChangeTicket ticket(SimulatedFleet fleet, long number) {
        int first = fleet.random().nextInt(POOLS);
        int second = (first + 1 + fleet.random().nextInt(POOLS - 1)) % POOLS;
        boolean exposed = fleet.random().nextBoolean();
        return new ChangeTicket(
                number,
                new OperatorName("anne"),
                List.of(
                        change(Math.min(first, second), exposed),
                        change(Math.max(first, second), exposed)));
    }

    private static ObjectChange change(int number, boolean exposed) {
        Pool pool = Pool.builder().name(new PoolName("pool-" + number)).exposed(exposed).build();
        return new ObjectChange(pool.objectKey(), Optional.of(pool));
    }

    private static void scheduleOutage(SimulatedFleet fleet) {
        SimulatedPlatform platform = fleet.platform();
        long startNanos = fleet.random().nextLong(RACE_NANOS);
        long endNanos = startNanos + fleet.random().nextLong(RACE_NANOS / 2);
        fleet.clock().schedule(startNanos, () -> platform.mAvailable = false);
        fleet.clock().schedule(endNanos, () -> platform.mAvailable = true);
    }

    private static Map<Long, ChangeTicket> feedOf(SimulatedFleet fleet) {
        return fleet
                .platform()
                .mTable
                .read(new TableRead.Range(TicketRows.FEED_TABLE, "", Integer.MAX_VALUE))
                .stream()
                .map(row -> TicketRows.feedEntry(row).orElseThrow())
                .collect(
                        Collectors.toMap(
                                TicketRows.FeedEntry::sequence, TicketRows.FeedEntry::ticket));
    }

    private static void checkFeed(
            SimulatedFleet fleet, Map<ChangeTicket, List<TicketAnswer>> answers, long seed) {
        Map<Long, ChangeTicket> feed = feedOf(fleet);
        assertThat(feed.values()).as("seed %d", seed).doesNotHaveDuplicates();
        answers.forEach(
                (ticket, received) -> {
                    boolean mayBeAccepted = false;
                    for (TicketAnswer answer : received) {
                        mayBeAccepted |= checkAnswer(ticket, answer, feed, seed);
                    }
                    if (!mayBeAccepted) {
                        assertThat(feed.values()).as("seed %d", seed).doesNotContain(ticket);
                    }
                });
    }

    private static boolean checkAnswer(
            ChangeTicket ticket, TicketAnswer answer, Map<Long, ChangeTicket> feed, long seed) {
        return switch (answer) {
            case TicketAnswer.Accepted accepted -> {
                assertThat(feed.get(accepted.sequence())).as("seed %d", seed).isEqualTo(ticket);
                yield true;
            }
            case TicketAnswer.AlreadyAccepted accepted -> {
                assertThat(feed.get(accepted.sequence())).as("seed %d", seed).isEqualTo(ticket);
                yield true;
            }
            case TicketAnswer.Unknown unknown -> true;
            default -> false;
        };
    }

    private static void checkActive(SimulatedFleet fleet, long seed) {
        Configuration expected = Configuration.empty();
        for (ChangeTicket ticket : feedOf(fleet).values()) {
            expected = expected.merge(TicketCodec.objectsOf(ticket));
        }
        for (SimulatedInstance instance : fleet.instances()) {
            assertThat(List.copyOf(instance.mState.configuration().objects()))
                    .as("seed %d at %s", seed, instance.mName)
                    .containsExactlyInAnyOrderElementsOf(
                            List.<VersionedObject>copyOf(expected.objects()));
        }
    }
}
