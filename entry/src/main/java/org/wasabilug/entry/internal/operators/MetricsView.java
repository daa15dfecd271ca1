package org.wasabilug.entry.internal.operators;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.codahale.metrics.jvm.GarbageCollectorMetricSet;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import com.codahale.metrics.jvm.ThreadStatesGaugeSet;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.concurrent.TimeUnit;

/** JSON view of the metrics of the instance and its JVM. */
final class MetricsView {
    private final MetricRegistry mRegistry;
    private final JsonMapper mMapper =
            JsonMapper.builder()
                    .addModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false))
                    .build();

    MetricsView(MetricRegistry registry) {
        mRegistry = registry;
        registry.register("jvm.memory", new MemoryUsageGaugeSet());
        registry.register("jvm.garbageCollector", new GarbageCollectorMetricSet());
        registry.register("jvm.threads", new ThreadStatesGaugeSet());
    }

    JsonNode json() {
        return mMapper.valueToTree(mRegistry);
    }
}
