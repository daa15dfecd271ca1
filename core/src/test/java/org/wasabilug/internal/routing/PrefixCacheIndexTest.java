package org.wasabilug.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.EndpointName;
import org.wasabilug.port.CacheEvents;

class PrefixCacheIndexTest {
    private static final EndpointName ENDPOINT = new EndpointName("engine-1");

    private final PrefixCacheIndex mIndex = new PrefixCacheIndex(4);

    private void apply(long generation, long sequence, List<Long> stored, List<Long> evicted) {
        mIndex.apply(ENDPOINT, new CacheEvents(generation, sequence, stored, evicted));
    }

    @Test
    void findsTheLongestCachedPrefix() {
        apply(1, 0, List.of(1L, 2L), List.of());

        PrefixCacheIndex.Match match = mIndex.findLongestMatch(List.of(1L, 2L, 3L, 4L));

        assertThat(match).isEqualTo(new PrefixCacheIndex.Match(List.of(ENDPOINT), 0.5));
    }

    @Test
    void clearsEntriesAfterAGapInTheSequence() {
        apply(1, 0, List.of(1L, 2L), List.of());

        apply(1, 5, List.of(3L), List.of());

        assertThat(mIndex.findLongestMatch(List.of(2L)).endpoints()).isEmpty();
        assertThat(mIndex.findLongestMatch(List.of(3L)).endpoints()).containsExactly(ENDPOINT);
    }

    @Test
    void clearsEntriesOfAnEarlierProcessIncarnation() {
        apply(1, 0, List.of(1L), List.of());

        apply(2, 0, List.of(2L), List.of());

        assertThat(mIndex.findLongestMatch(List.of(1L)).endpoints()).isEmpty();
    }

    @Test
    void ignoresARepeatedBatch() {
        apply(1, 0, List.of(1L), List.of());
        apply(1, 1, List.of(), List.of(1L));

        apply(1, 0, List.of(1L), List.of());

        assertThat(mIndex.findLongestMatch(List.of(1L)).endpoints()).isEmpty();
    }

    @Test
    void limitsTheNumberOfPrefixesPerEndpoint() {
        apply(1, 0, LongStream.range(0, 100).boxed().toList(), List.of());

        assertThat(mIndex.entryCount()).isEqualTo(4);
    }
}
