package org.wasabilug.scenarios.internal.language;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.wasabilug.port.VersionedObject;
import org.wasabilug.scenarios.internal.fleet.InstanceProcess;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** Steps that check the quality of service for callers and operators. */
public final class ServiceSteps {
    private static final int PERCENT = 100;
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    /** Creates the steps. */
    public ServiceSteps() {}

    private static History history() {
        return CurrentScenario.world().fleet().history();
    }

    /**
     * Checks the share of submissions that were answered.
     *
     * @param percent minimum share, in percent
     */
    @Then("at least {int} % of the requests are answered")
    public void answeredShare(int percent) {
        long submitted = history().events(HistoryEvent.Submitted.class).count();
        long answered = history().events(HistoryEvent.Answered.class).count();

        assertThat(answered * PERCENT)
                .as("%d of %d requests answered", answered, submitted)
                .isGreaterThanOrEqualTo(submitted * percent);
    }

    /**
     * Checks how many crashes each content caused, without allowance for propagation delay.
     *
     * @param max maximum number of crashes
     */
    @Then("each crashing request crashes at most {int} endpoints")
    public void crashesAtMost(int max) {
        Map<String, Long> crashes =
                history()
                        .events(HistoryEvent.Crashed.class)
                        .filter(event -> !event.content().isEmpty())
                        .collect(
                                Collectors.groupingBy(
                                        HistoryEvent.Crashed::content, Collectors.counting()));

        assertThat(crashes).isNotEmpty();
        assertThat(crashes.values()).allMatch(count -> count <= max);
    }

    /** Checks that the platform accepted the most recently submitted ticket. */
    @Then("the newest change was accepted")
    public void newestChangeAccepted() {
        long newest = CurrentScenario.world().fleet().lastTicket();

        assertThat(history().events(HistoryEvent.TicketAccepted.class))
                .contains(new HistoryEvent.TicketAccepted(newest));
    }

    /** Checks that a ticket changed the state of a failure domain. */
    @Then("the failure domain was taken out")
    public void domainWasTakenOut() {
        assertThat(history().events(HistoryEvent.DomainStateChanged.class)).isNotEmpty();
    }

    /** Checks that no endpoint crashed because of overload. */
    @Then("no endpoint crashes under load")
    public void noCrashUnderLoad() {
        List<HistoryEvent.Crashed> crashes =
                history()
                        .events(HistoryEvent.Crashed.class)
                        .filter(event -> event.content().isEmpty())
                        .toList();

        assertThat(crashes).isEmpty();
    }

    /**
     * Advances time and checks that the last accepted change is active at every live instance.
     *
     * @param seconds virtual time allowed, in seconds
     */
    @Then("the last accepted change is in force everywhere within {int} seconds")
    public void lastChangeIsActiveEverywhere(int seconds) {
        CurrentScenario.world().fleet().runMilliseconds(seconds * MILLISECONDS_PER_SECOND);
        long accepted =
                history()
                        .events(HistoryEvent.TicketAccepted.class)
                        .mapToLong(HistoryEvent.TicketAccepted::number)
                        .max()
                        .orElse(0);

        assertThat(newestTickets()).allSatisfy((name, ticket) -> assertNewest(ticket, accepted));
    }

    private static void assertNewest(long ticket, long accepted) {
        assertThat(ticket).as("newest active ticket").isGreaterThanOrEqualTo(accepted);
    }

    private static Map<String, Long> newestTickets() {
        return CurrentScenario.world().fleet().instances().stream()
                .filter(InstanceProcess::isAlive)
                .collect(
                        Collectors.toMap(
                                process -> process.name().value(), ServiceSteps::newestTicket));
    }

    private static long newestTicket(InstanceProcess process) {
        return process.configuration().objects().stream()
                .mapToLong(VersionedObject::ticketNumber)
                .max()
                .orElse(0);
    }
}
