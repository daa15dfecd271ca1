package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EndpointSelectorTest {
    private final PrefixCacheEstimator mPrefixCaches = new PrefixCacheEstimator();
    private final EndpointSelector mSelector =
            new EndpointSelector(new ColdLimits(1.5, 5), new BrittleServices(), mPrefixCaches);
    private final EndpointState mFirst = ServingFixtures.endpoint("first", "rennes");
    private final EndpointState mSecond = ServingFixtures.endpoint("second", "rennes");

    private EndpointState choose(PromptSize prompt, Set<String> excluded) {
        SelectionRequest request =
                new SelectionRequest(
                        ServingFixtures.engines(0),
                        excluded,
                        Optional.empty(),
                        "rennes",
                        false,
                        prompt,
                        new FleetView("instance", 1, 1, 0));
        return switch (mSelector.choose(request, List.of(mFirst, mSecond), 0)) {
            case Selection.Chosen chosen -> chosen.endpoint();
            case Selection.Unavailable unavailable -> null;
        };
    }

    @Test
    void prefersTheEngineThatHasTheSharedPartCached() {
        PromptSize prompt = ServingFixtures.prompt("part");
        mPrefixCaches.recordPrompt("second", prompt.parts(), 100_000);

        assertThat(choose(prompt, Set.of())).isSameAs(mSecond);
    }

    @Test
    void prefersAnIdleEngineToALoadedOneWithTheCachedPrompt() {
        PromptSize prompt = ServingFixtures.prompt("part");
        mPrefixCaches.recordPrompt("second", prompt.parts(), 100_000);
        mSecond.recordSent(new EndpointLoad(5, 15_000, 15_000), 0);

        assertThat(choose(prompt, Set.of())).isSameAs(mFirst);
    }

    @Test
    void includesLoadReportedByPeers() {
        mSecond.setPeerLoad("peer", new EndpointLoad(5, 15_000, 15_000));
        mFirst.setPeerLoad("peer", EndpointLoad.NONE);

        assertThat(choose(ServingFixtures.prompt("any"), Set.of())).isSameAs(mFirst);
    }

    @Test
    void excludedEndpointsAreNotChosen() {
        assertThat(choose(PromptSize.NONE, Set.of("first"))).isSameAs(mSecond);
        assertThat(choose(PromptSize.NONE, Set.of("first", "second"))).isNull();
    }

    @Test
    void anEjectedEndpointIsNotChosen() {
        for (int failure = 0; failure < 5; failure++) {
            mFirst.health().recordFailure(0);
        }

        assertThat(mFirst.health().isEjected(0)).isTrue();
        assertThat(choose(PromptSize.NONE, Set.of())).isSameAs(mSecond);
    }

    @Test
    void choosesAnEjectedEndpointIfAllAreEjected() {
        for (int failure = 0; failure < 5; failure++) {
            mFirst.health().recordFailure(0);
            mSecond.health().recordFailure(0);
        }

        assertThat(choose(PromptSize.NONE, Set.of())).isNotNull();
    }

    @Test
    void evictsTheLeastRecentlyUsedPartsOfAnEngineFirst() {
        mPrefixCaches.recordPrompt("first", ServingFixtures.prompt("old").parts(), 5_000);
        mPrefixCaches.recordPrompt("first", ServingFixtures.prompt("new").parts(), 5_000);

        assertThat(mPrefixCaches.cachedTokens("first", ServingFixtures.prompt("new").parts()))
                .isEqualTo(3_000);
        assertThat(mPrefixCaches.cachedTokens("first", ServingFixtures.prompt("old").parts()))
                .isZero();
    }
}
