package org.wasabilug.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wasabilug.internal.routing.RoutingFixture.OTHER;
import static org.wasabilug.internal.routing.RoutingFixture.OWN;
import static org.wasabilug.internal.routing.RoutingFixture.nanos;
import static org.wasabilug.internal.routing.RoutingFixture.query;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.model.DomainState;
import org.wasabilug.model.EndpointName;
import org.wasabilug.port.CacheEvents;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.ListedRole;

class AdaptiveRouterTest {
    private final RoutingFixture mFixture =
            new RoutingFixture()
                    .domain(OWN, DomainState.IN_SERVICE)
                    .domain(OTHER, DomainState.IN_SERVICE)
                    .endpoints(OWN, "a", "b")
                    .endpoints(OTHER, "c", "d");

    @Test
    void staysInItsOwnFailureDomainWhileThatHasRoom() {
        assertThat(mFixture.choices(50, 0)).containsOnly("a", "b");
    }

    @Test
    void spillsWhenItsOwnFailureDomainHasNoRoom() {
        mFixture.choices(1, 0);
        mFixture.report("a", false, 8, 0, 1);
        mFixture.report("b", false, 8, 0, 1);

        assertThat(mFixture.choices(50, 2)).containsOnly("c", "d");
    }

    @Test
    void sendsNothingToTakenOutFailureDomain() {
        mFixture.choices(1, 0);
        mFixture.domain(OWN, DomainState.TAKEN_OUT);

        assertThat(mFixture.choices(50, 1)).containsOnly("c", "d");
        assertThat(mFixture.state("a", 1)).isEqualTo("taken out");
    }

    @Test
    void sendsNothingToAnEndpointThatIsConfiguredAsLeaving() {
        mFixture.put(RoutingFixture.endpoint("a", OWN).leaving(true).build());

        assertThat(mFixture.choices(50, 0)).containsOnly("b");
    }

    @Test
    void sendsNothingToAnEndpointThatIsListedAsLeaving() {
        mFixture.choices(1, 0);
        mFixture.router().applyInstanceList(List.of(listed("a", true)));

        assertThat(mFixture.choices(50, 1)).containsOnly("b");
    }

    @Test
    void keepsUsingAnEndpointThatTheListLeavesOut() {
        mFixture.router().applyInstanceList(List.of(listed("b", false)));

        assertThat(mFixture.choices(50, 0)).contains("a");
    }

    @Test
    void keepsToTheListedLeavingWhenTheListThenLeavesItOut() {
        mFixture.choices(1, 0);
        mFixture.router().applyInstanceList(List.of(listed("a", true)));
        mFixture.router().applyInstanceList(List.of(listed("b", false)));

        assertThat(mFixture.choices(50, 1)).containsOnly("b");
    }

    @Test
    void sendsColdEndpointNoMoreThanItsAllowance() {
        mFixture.put(RoutingFixture.endpoint("b", OWN).leaving(true).build());
        mFixture.allow("a", 1);
        mFixture.choices(1, 0);
        mFixture.dispatch("a", query(), 0);

        assertThat(mFixture.choices(50, 1)).doesNotContain("a");
    }

    @Test
    void answersNoRoomWhereEveryEndpointIsColdWithoutAllowance() {
        for (String name : List.of("a", "b", "c", "d")) {
            mFixture.allow(name, 0);
        }

        RoutingDecision answer = mFixture.router().route(query(), 0);

        assertThat(answer).isInstanceOf(RoutingDecision.NoCapacity.class);
    }

    @Test
    void answersNoEndpointWhereEveryFailureDomainIsTakenOut() {
        mFixture.domain(OWN, DomainState.TAKEN_OUT).domain(OTHER, DomainState.TAKEN_OUT);

        RoutingDecision answer = mFixture.router().route(query(), 0);

        assertThat(answer).isInstanceOf(RoutingDecision.NoEndpoint.class);
    }

    @Test
    void avoidsEndpointsThatFailedTheStage() {
        RoutingQuery query =
                new RoutingQuery(
                        RoutingFixture.POOL,
                        query().workspace(),
                        List.of(),
                        Set.of(new EndpointName("a")),
                        nanos(4000),
                        false);

        assertThat(mFixture.choice(query, 0)).contains("b");
    }

    @Test
    void countsOwnDispatchesThatAnOldReportHasNotSeen() {
        mFixture.choices(1, 0);
        mFixture.dispatch("a", query(), 100);
        mFixture.dispatch("a", query(), 100);
        mFixture.report("a", false, 0, 300, 200);
        mFixture.report("b", false, 1, 300, 200);

        assertThat(mFixture.choices(20, 201)).containsOnly("b");
    }

    @Test
    void subtractsOwnCallsThatEndedSinceTheReportWasMade() {
        mFixture.choices(1, 0);
        AttemptId first = mFixture.dispatch("a", query(), 10);
        AttemptId second = mFixture.dispatch("a", query(), 10);
        mFixture.router().ended(first, AttemptEnd.CANCELLED, nanos(150));
        mFixture.router().ended(second, AttemptEnd.CANCELLED, nanos(150));
        mFixture.report("a", false, 2, 100, 200);
        mFixture.report("b", false, 1, 100, 200);

        assertThat(mFixture.choices(20, 201)).containsOnly("a");
    }

    @Test
    void prefersTheEndpointThatAnswersSooner() {
        mFixture.choices(1, 0);
        for (int turn = 0; turn < 10; turn++) {
            mFixture.run("a", AttemptEnd.SUCCEEDED, 0, 900);
            mFixture.run("b", AttemptEnd.SUCCEEDED, 800, 900);
        }

        assertThat(mFixture.choices(20, 901)).containsOnly("b");
    }

    @Test
    void ejectsAnEndpointThatKeepsFailing() {
        failFiveTimes("a");

        assertThat(mFixture.choices(50, 10)).containsOnly("b");
        assertThat(mFixture.state("a", 10)).isEqualTo("ejected");
    }

    @Test
    void neverEjectsMoreThanHalfOfThePool() {
        for (String name : List.of("a", "b", "c", "d")) {
            failFiveTimes(name);
        }

        long ejected =
                mFixture.router().endpointStatuses(nanos(10)).stream()
                        .filter(status -> status.state().equals("ejected"))
                        .count();

        assertThat(ejected).isEqualTo(2);
    }

    @Test
    void triesEjectedEndpointWithOneAttemptOnly() {
        failFiveTimes("a");
        failFiveTimes("b");

        String trial = mFixture.choice(query(), 6000).orElseThrow();
        mFixture.dispatch(trial, query(), 6000);

        assertThat(trial).isIn("a", "b");
        assertThat(mFixture.choices(20, 6001)).doesNotContain(trial);
    }

    @Test
    void readmitsAnEndpointWhoseTrialSucceeds() {
        failFiveTimes("a");

        mFixture.run("a", AttemptEnd.SUCCEEDED, 6000, 6100);

        assertThat(mFixture.state("a", 6101)).isEqualTo("in service");
    }

    @Test
    void sendsEachEndpointOnlyOneSuspect() {
        RoutingQuery suspect = query(true, List.of());
        mFixture.choices(1, 0);
        for (String name : List.of("a", "b", "c")) {
            mFixture.dispatch(name, suspect, 0);
        }

        assertThat(mFixture.choice(suspect, 1)).contains("d");
        mFixture.dispatch("d", suspect, 1);
        assertThat(mFixture.choice(suspect, 2)).isEmpty();
    }

    @Test
    void followsCachedPrefixWhileLoadIsSimilar() {
        mFixture.choices(1, 0);
        mFixture.router()
                .applyCacheEvents(
                        new EndpointName("c"),
                        new CacheEvents(1, 0, List.of(11L, 12L), List.of()),
                        0);

        assertThat(mFixture.choice(query(false, List.of(11L, 12L)), 1)).contains("c");
    }

    @Test
    void ignoresCachedPrefixWhereLoadIsTooHigh() {
        followsCachedPrefixWhileLoadIsSimilar();
        mFixture.report("c", false, 6, 0, 2);

        assertThat(mFixture.choice(query(false, List.of(11L, 12L)), 3)).get().isNotEqualTo("c");
    }

    @Test
    void letsReturningFailureDomainComeBackSlowly() {
        mFixture.choices(1, 0);
        mFixture.domain(OWN, DomainState.TAKEN_OUT);
        mFixture.router().configurationChanged(nanos(1000));
        mFixture.domain(OWN, DomainState.IN_SERVICE);
        mFixture.router().configurationChanged(nanos(5000));
        mFixture.report("a", false, 1, 0, 5001);
        mFixture.report("b", false, 1, 0, 5001);

        List<String> soon = mFixture.choices(50, 5100);
        List<String> later = mFixture.choices(50, 13500);

        assertThat(soon).containsOnly("c", "d");
        assertThat(later).contains("a", "b");
    }

    @Test
    void leavesAnOverloadedEndpointAloneUntilNewerNews() {
        mFixture.choices(1, 0);
        mFixture.report("a", false, 0, 0, 0);
        mFixture.report("b", false, 4, 0, 0);

        mFixture.run("a", AttemptEnd.OVERLOADED, 10, 11);
        List<String> before = mFixture.choices(20, 12);
        mFixture.report("a", false, 0, 0, 20);

        assertThat(before).containsOnly("b");
        assertThat(mFixture.choices(20, 21)).contains("a");
    }

    @Test
    void raisesItsLimitAgainAfterAnOverloadHasPassed() {
        mFixture.choices(1, 0);
        for (int turn = 1; turn <= 10; turn++) {
            mFixture.run("a", AttemptEnd.OVERLOADED, turn * 300, turn * 300 + 1);
        }
        mFixture.report("a", false, 2, 0, 3100);
        List<String> whileLow = mFixture.choices(50, 3101);
        for (int turn = 0; turn < 100; turn++) {
            mFixture.run("a", AttemptEnd.SUCCEEDED, 3200, 3400);
        }

        mFixture.report("b", false, 7, 0, 3400);

        assertThat(whileLow).doesNotContain("a");
        assertThat(mFixture.choices(50, 3401)).contains("a");
    }

    @Test
    void choosesTheSameForTheSameEvents() {
        RoutingFixture again =
                new RoutingFixture()
                        .domain(OWN, DomainState.IN_SERVICE)
                        .domain(OTHER, DomainState.IN_SERVICE)
                        .endpoints(OWN, "a", "b")
                        .endpoints(OTHER, "c", "d");

        assertThat(again.choices(100, 0)).isEqualTo(mFixture.choices(100, 0));
    }

    private void failFiveTimes(String endpoint) {
        mFixture.choices(1, 0);
        Collections.nCopies(5, endpoint)
                .forEach(name -> mFixture.run(name, AttemptEnd.FAILED, 1, 2));
    }

    private static ListedInstance listed(String name, boolean leaving) {
        return new ListedInstance(name, ListedRole.ENDPOINT, OWN, "127.0.0.1:9", leaving);
    }
}
