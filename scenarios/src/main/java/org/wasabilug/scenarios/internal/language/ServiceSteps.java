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

/** Steps that check how well callers and operators are served. */
public final class ServiceSteps {
    private static final int PERCENT = 100;
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    /** Creates the steps. */
    public ServiceSteps() {}

    private static History history() {
        return CurrentScenario.world().fleet().history();
    }

    /**
     * Checks the share of submissions with an answer.
     *
     * @param percent the least share
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
     * Checks how many crashes one content caused, without the time that news may take.
     *
     * @param most the most crashes
     */
    @Then("each crashing request crashes at most {int} endpoints")
    public void crashesAtMost(int most) {
        Map<String, Long> crashes =
                history()
                        .events(HistoryEvent.Crashed.class)
                        .filter(event -> !event.content().isEmpty())
                        .collect(
                                Collectors.groupingBy(
                                        HistoryEvent.Crashed::content, Collectors.counting()));

        assertThat(crashes).isNotEmpty();
        assertThat(crashes.values()).allMatch(count -> count <= most);
    }

    /** Checks that the platform accepted the newest change that an operator sent. */
    @Then("the newest change was accepted")
    public void newestChangeAccepted() {
        long newest = CurrentScenario.world().fleet().lastTicket();

        assertThat(history().events(HistoryEvent.TicketAccepted.class))
                .contains(new HistoryEvent.TicketAccepted(newest));
    }

    /** Checks that a ticket moved a failure domain. */
    @Then("the failure domain was taken out")
    public void domainWasTakenOut() {
        assertThat(history().events(HistoryEvent.DomainMoved.class)).isNotEmpty();
    }

    /** Checks that no endpoint fell over under too much work. */
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
     * Lets time pass and checks that every instance that runs has the last accepted change.
     *
     * @param seconds time that is allowed
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
        assertThat(ticket).as("newest ticket in force").isGreaterThanOrEqualTo(accepted);
    }

    private static Map<String, Long> newestTickets() {
        return CurrentScenario.world().fleet().instances().stream()
                .filter(InstanceProcess::isAlive)
                .collect(Collectors.toMap(life -> life.name().value(), ServiceSteps::newestTicket));
    }

    private static long newestTicket(InstanceProcess life) {
        return life.configuration().objects().stream()
                .mapToLong(VersionedObject::ticketNumber)
                .max()
                .orElse(0);
    }
}
