package org.wasabilug.gateway.internal.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

class DecisionLogTest {
    private long mNowMillis;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final DecisionLog mLog = new DecisionLog(mMetrics, () -> mNowMillis);

    @Test
    void aFloodOfRefusalsIsCountedButNotFullyLogged() {
        int written = 0;
        for (int refusal = 0; refusal < 10_000; refusal++) {
            written += mLog.request(LogLine.of("own-answer").with("status", 503)) ? 1 : 0;
        }

        assertThat(written).isEqualTo(200);
        assertThat(mMetrics.counter("decisions.own-answer").getCount()).isEqualTo(10_000);
        mNowMillis = 1_000;
        assertThat(mLog.request(LogLine.of("own-answer"))).isTrue();
    }

    @Test
    void countsAndLatenciesAreFormattedAsText() {
        mLog.request(LogLine.of("answered"));
        mLog.latency("first-event", 250);

        assertThat(MetricsText.of(mMetrics))
                .contains("decisions.answered 1\n")
                .contains("latency.first-event.count 1\n")
                .contains("latency.first-event.p50 250.0\n");
    }

    @Test
    void aLineIsAValidJsonObjectWhateverItsTextsContain() {
        String line = LogLine.of("event").with("text", "a\"b\\c\n").with("number", 5).text();

        assertThat(line)
                .isEqualTo("{\"event\":\"event\",\"text\":\"a\\\"b\\\\c\\u000a\",\"number\":5}");
    }
}
