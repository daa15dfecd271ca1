package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StoreRelaysTest {
    private final List<StoreRelays.Candidate> mHeard = new ArrayList<>();

    private void heard(String domain, int count, boolean readsStore) {
        for (int number = 0; number < count; number++) {
            mHeard.add(new StoreRelays.Candidate(domain + "-" + number, domain, readsStore));
        }
    }

    private List<String> tellers() {
        return StoreRelays.choose("deaf", "rennes", mHeard);
    }

    @Test
    void anInstanceWithoutStoreIsToldByTwoHoweverManyThereAre() {
        heard("rennes", 30, true);
        heard("brest", 30, true);

        assertThat(tellers()).hasSize(2).allMatch(name -> name.startsWith("rennes"));
    }

    @Test
    void instancesOfAnotherDomainTellWhereNoneOfTheOwnReadsTheStore() {
        heard("rennes", 5, false);
        heard("brest", 5, true);

        assertThat(tellers()).hasSize(2).allMatch(name -> name.startsWith("brest"));
    }

    @Test
    void whereNobodyReadsTheStoreAnyTellWhatTheyKnow() {
        heard("rennes", 1, false);
        heard("brest", 1, false);

        assertThat(tellers()).containsExactlyInAnyOrder("rennes-0", "brest-0");
    }

    @Test
    void nobodyTellsItself() {
        mHeard.add(new StoreRelays.Candidate("deaf", "rennes", false));

        assertThat(tellers()).isEmpty();
    }
}
