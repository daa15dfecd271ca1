package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StoreRelaysTest {
    private final List<StoreRelays.Candidate> mReachable = new ArrayList<>();

    private void addReachable(String domain, int count, boolean readsStore) {
        for (int number = 0; number < count; number++) {
            mReachable.add(new StoreRelays.Candidate(domain + "-" + number, domain, readsStore));
        }
    }

    private List<String> relays() {
        return StoreRelays.choose("isolated", "rennes", mReachable);
    }

    @Test
    void choosesTwoRelaysOfTheSameDomainHoweverManyThereAre() {
        addReachable("rennes", 30, true);
        addReachable("brest", 30, true);

        assertThat(relays()).hasSize(2).allMatch(name -> name.startsWith("rennes"));
    }

    @Test
    void choosesAnotherDomainIfNoInstanceOfTheSameDomainReadsTheStore() {
        addReachable("rennes", 5, false);
        addReachable("brest", 5, true);

        assertThat(relays()).hasSize(2).allMatch(name -> name.startsWith("brest"));
    }

    @Test
    void choosesAnyInstancesIfNoneReadsTheStore() {
        addReachable("rennes", 1, false);
        addReachable("brest", 1, false);

        assertThat(relays()).containsExactlyInAnyOrder("rennes-0", "brest-0");
    }

    @Test
    void anInstanceIsNotItsOwnRelay() {
        mReachable.add(new StoreRelays.Candidate("isolated", "rennes", false));

        assertThat(relays()).isEmpty();
    }
}
