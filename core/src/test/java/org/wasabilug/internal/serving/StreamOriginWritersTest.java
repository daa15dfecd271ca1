package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class StreamOriginWritersTest {
    /** What a fleet may write a second, of 400 that the store takes from all. */
    private static final int MAX_WRITERS = 40;

    private static final int DESIGN_INSTANCES = 450;

    private static Set<String> fleet(int instances) {
        return IntStream.range(0, instances)
                .mapToObj(number -> "front-" + number)
                .collect(Collectors.toSet());
    }

    private static StreamOriginWriters writers(Set<String> instances) {
        StreamOriginWriters writers = new StreamOriginWriters();
        writers.update(instances);
        return writers;
    }

    /** Guards against writes that grow with the fleet. */
    @Test
    void aLargeFleetHasFewWriters() {
        StreamOriginWriters writers = writers(fleet(DESIGN_INSTANCES));
        Set<String> chosen =
                IntStream.range(0, 10_000)
                        .mapToObj(stream -> StreamOriginWriters.hash("stream-" + stream))
                        .map(writers::writer)
                        .collect(Collectors.toSet());
        assertThat(chosen).hasSizeLessThanOrEqualTo(MAX_WRITERS).hasSizeGreaterThan(1);
    }

    @Test
    void instancesThatKnowTheSameFleetChooseTheSameWriter() {
        long hash = StreamOriginWriters.hash("stream-1");
        assertThat(writers(fleet(5)).writer(hash)).isEqualTo(writers(fleet(5)).writer(hash));
    }

    /** Guards against recorded streams that nobody reads once their writer is gone. */
    @Test
    void anInstanceReadsAgainWhenItTakesOverFromAnother() {
        StreamOriginWriters writers = writers(fleet(2));
        List<String> before = writers.writers();
        assertThat(writers.recordsMoreThan(List.of(), "front-0")).isTrue();
        assertThat(writers.recordsMoreThan(before, "front-0")).isFalse();

        writers.update(Set.of("front-0"));
        assertThat(writers.recordsMoreThan(before, "front-0")).isTrue();
    }

    @Test
    void anInstanceThatIsNoWriterReadsNothing() {
        StreamOriginWriters writers = writers(fleet(2));
        assertThat(writers.recordsMoreThan(List.of(), "front-9")).isFalse();
    }
}
