package org.wasabilug.bench.internal.virtual;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wasabilug.model.Pipeline;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.fleet.Fleet;
import org.wasabilug.scenarios.internal.fleet.FleetShape;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** Computes the figures of a run from its history and from the endpoints' counters. */
final class FigureCalculator {
    private static final Pattern STAGE_OF_CHUNK = Pattern.compile("<[^/]*/([^#]*)#");
    private static final double NANOS_PER_SECOND = 1e9;

    private final FleetShape mShape;
    private final MeasurementWindow mWindow;
    private final Map<Long, SubmissionOutcome> mOutcomes = new HashMap<>();
    private final Map<String, Long> mUsefulChunks = new HashMap<>();
    private final Map<String, Long> mRefusals = new TreeMap<>();

    FigureCalculator(FleetShape shape, MeasurementWindow window) {
        mShape = shape;
        mWindow = window;
    }

    Figures calculate(Fleet fleet, double capacityPerSecond) {
        fleet.history().entries().forEach(this::apply);
        Map<String, Double> costs = new TreeMap<>();
        Map<String, Long> produced = countProducedChunks(fleet.endpoints());
        produced.forEach((pool, count) -> costs.put(pool, count / (double) usefulChunks(pool)));
        long producedTotal = produced.values().stream().mapToLong(Long::longValue).sum();
        long usefulTotal = mUsefulChunks.values().stream().mapToLong(Long::longValue).sum();
        return new Figures(
                mOutcomes.values().stream().filter(this::isMeasured).count(),
                shareInTime(mWindow.startNanos(), mWindow.endNanos()),
                shareInTime(mWindow.startNanos(), mWindow.disturbanceStartNanos()),
                shareInTime(mWindow.disturbanceStartNanos(), mWindow.disturbanceEndNanos()),
                shareInTime(mWindow.disturbanceEndNanos(), mWindow.endNanos()),
                goodput(capacityPerSecond),
                costs,
                1 - usefulTotal / (double) producedTotal,
                mRefusals,
                capacityPerSecond);
    }

    private void apply(History.Entry entry) {
        switch (entry.event()) {
            case HistoryEvent.Submitted submitted ->
                    mOutcomes.put(
                            submitted.submission(),
                            new SubmissionOutcome(entry.atNanos(), submitted.deadlineNanos()));
            case HistoryEvent.Answered answered -> {
                mOutcomes.get(answered.submission()).recordAnswer(entry.atNanos());
                countUsefulChunks(answered.answer());
            }
            case HistoryEvent.Refused refused ->
                    mRefusals.merge(refused.refusal().code().name(), 1L, Long::sum);
            default -> {
                // Other events do not affect the figures.
            }
        }
    }

    private void countUsefulChunks(String answer) {
        Matcher chunks = STAGE_OF_CHUNK.matcher(answer);
        while (chunks.find()) {
            mUsefulChunks.merge(poolOf(chunks.group(1)), 1L, Long::sum);
        }
    }

    private String poolOf(String stage) {
        return mShape.pipelines().stream()
                .map(Pipeline::stages)
                .flatMap(Collection::stream)
                .filter(each -> each.name().value().equals(stage))
                .findFirst()
                .orElseThrow()
                .pool()
                .value();
    }

    private static Map<String, Long> countProducedChunks(Collection<FakeEndpoint> endpoints) {
        Map<String, Long> produced = new TreeMap<>();
        endpoints.forEach(
                each ->
                        produced.merge(
                                each.configuration().pool().value(),
                                each.chunksEmitted(),
                                Long::sum));
        return produced;
    }

    private long usefulChunks(String pool) {
        return mUsefulChunks.getOrDefault(pool, 0L);
    }

    private boolean isMeasured(SubmissionOutcome outcome) {
        return outcome.arrivedWithin(mWindow.startNanos(), mWindow.endNanos());
    }

    private double shareInTime(long fromNanos, long untilNanos) {
        return mOutcomes.values().stream()
                .filter(outcome -> outcome.arrivedWithin(fromNanos, untilNanos))
                .mapToInt(outcome -> outcome.isAnsweredInTime() ? 1 : 0)
                .average()
                .orElse(1);
    }

    private double goodput(double capacityPerSecond) {
        double seconds = (mWindow.endNanos() - mWindow.startNanos()) / NANOS_PER_SECOND;
        long answers =
                mOutcomes.values().stream()
                        .filter(
                                outcome ->
                                        outcome.isAnsweredInTimeWithin(
                                                mWindow.startNanos(), mWindow.endNanos()))
                        .count();
        return answers / (seconds * capacityPerSecond);
    }
}
