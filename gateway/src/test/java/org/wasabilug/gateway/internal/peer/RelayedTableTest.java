package org.wasabilug.gateway.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.serving.StoreRevision;

class RelayedTableTest {
    private static final long SETTLED_MILLIS = 2_500;

    private final RelayedTable mTable = new RelayedTable();

    private static StoredRow row(String key, long version) {
        return new StoredRow(key, new byte[] {1}, new StoreRevision(1, version), false);
    }

    private static StoredRow removed(String key, long version) {
        return new StoredRow(key, new byte[0], new StoreRevision(1, version), true);
    }

    private List<String> changes(long version, long nowMillis) {
        return mTable.changesAfter(new StoreRevision(1, version), nowMillis).stream()
                .map(row -> (row.removed() ? "-" : "+") + row.key())
                .toList();
    }

    @Test
    void aRemovalIsRelayedOnceTheRowHasNotBeenWrittenAgain() {
        mTable.apply(row("a", 1), 0);
        mTable.apply(removed("a", 2), 0);

        assertThat(changes(2, SETTLED_MILLIS - 1)).isEmpty();
        assertThat(changes(2, SETTLED_MILLIS)).containsExactly("-a");
    }

    @Test
    void aRowThatIsWrittenAgainIsNotRemoved() {
        mTable.apply(row("a", 1), 0);
        mTable.apply(removed("a", 2), 0);
        mTable.apply(row("a", 3), 1_000);

        assertThat(changes(2, SETTLED_MILLIS)).containsExactly("+a");
    }

    @Test
    void aRowThatIsMissingFromTheWholeTableIsRemoved() {
        mTable.replace(List.of(row("a", 1), row("b", 2)), 1, 0);
        mTable.replace(List.of(row("b", 2)), 1, 0);

        assertThat(changes(2, SETTLED_MILLIS)).containsExactly("-a");
    }

    @Test
    void anOldRemovalIsForgotten() {
        mTable.apply(row("a", 1), 0);
        mTable.apply(removed("a", 2), 0);

        assertThat(changes(2, 31_000)).isEmpty();
    }

    @Test
    void onlyNewerRowsAndRemovalsOfKnownRowsAreNews() {
        mTable.apply(row("a", 5), 0);

        assertThat(mTable.isNews(row("a", 5))).isFalse();
        assertThat(mTable.isNews(row("a", 6))).isTrue();
        assertThat(mTable.isNews(removed("a", 6))).isTrue();
        assertThat(mTable.isNews(removed("unknown", 6))).isFalse();
        mTable.apply(removed("a", 6), 0);
        assertThat(mTable.isNews(row("a", 5))).isFalse();
    }

    /** Guards against news that are ignored after the store came back with lower versions. */
    @Test
    void aRowOfALaterEraIsNewsThoughItsVersionIsLower() {
        mTable.apply(row("a", 50), 0);

        StoredRow later = new StoredRow("a", new byte[] {2}, new StoreRevision(2, 3), false);
        assertThat(mTable.isNews(later)).isTrue();
        mTable.apply(later, 0);

        assertThat(mTable.isNews(row("a", 51))).isFalse();
        assertThat(changes(50, SETTLED_MILLIS)).containsExactly("+a");
    }

    /** Guards against a lost row that peers don't hear of after the store came back older. */
    @Test
    void aRowThatIsMissingInALaterEraIsRemovedInThatEraAndMayComeBack() {
        mTable.replace(List.of(row("a", 50)), 1, 0);
        mTable.replace(List.of(), 2, 0);

        assertThat(mTable.changesAfter(new StoreRevision(1, 50), SETTLED_MILLIS))
                .extracting(StoredRow::revision)
                .containsExactly(new StoreRevision(2, 0));
        StoredRow back = new StoredRow("a", new byte[] {1}, new StoreRevision(2, 1), false);
        assertThat(mTable.isNews(back)).isTrue();
    }
}
