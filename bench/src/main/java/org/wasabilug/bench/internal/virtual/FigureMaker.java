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

/** Reads the figures of a run from its history and from what the endpoints counted. */
final class FigureMaker {
    private static final Pattern CHUNK_STAGE = Pattern.compile("<[^/]*/([^#]*)#");
    private static final double NANOS_PER_SECOND = 1e9;

    private final FleetShape mShape;
    private final Window mWindow;
    private final Map<Long, Fate> mFates = new HashMap<>();
    private final Map<String, Long> mNeeded = new HashMap<>();
    private final Map<String, Long> mRefusals = new TreeMap<>();

    FigureMaker(FleetShape shape, Window window) {
        mShape = shape;
        mWindow = window;
    }

    Figures make(Fleet fleet, double capacityPerSecond) {
        fleet.history().entries().forEach(this::read);
        Map<String, Double> costs = new TreeMap<>();
        Map<String, Long> made = countMade(fleet.endpoints());
        made.forEach((pool, count) -> costs.put(pool, count / (double) needed(pool)));
        long madeInAll = made.values().stream().mapToLong(Long::longValue).sum();
        long neededInAll = mNeeded.values().stream().mapToLong(Long::longValue).sum();
        return new Figures(
                mFates.values().stream().filter(this::isMeasured).count(),
                inTime(mWindow.startNanos(), mWindow.endNanos()),
                inTime(mWindow.startNanos(), mWindow.disturbedNanos()),
                inTime(mWindow.disturbedNanos(), mWindow.restoredNanos()),
                inTime(mWindow.restoredNanos(), mWindow.endNanos()),
                goodput(capacityPerSecond),
                costs,
                1 - neededInAll / (double) madeInAll,
                mRefusals,
                capacityPerSecond);
    }

    private void read(History.Entry entry) {
        switch (entry.event()) {
            case HistoryEvent.Submitted submitted ->
                    mFates.put(
                            submitted.submission(),
                            new Fate(entry.atNanos(), submitted.deadlineNanos()));
            case HistoryEvent.Answered answered -> {
                mFates.get(answered.submission()).answered(entry.atNanos());
                countNeeded(answered.answer());
            }
            case HistoryEvent.Refused refused ->
                    mRefusals.merge(refused.refusal().code().name(), 1L, Long::sum);
            default -> {
                // Other events say nothing of answers.
            }
        }
    }

    private void countNeeded(String answer) {
        Matcher chunks = CHUNK_STAGE.matcher(answer);
        while (chunks.find()) {
            mNeeded.merge(poolOf(chunks.group(1)), 1L, Long::sum);
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

    private static Map<String, Long> countMade(Collection<FakeEndpoint> endpoints) {
        Map<String, Long> made = new TreeMap<>();
        endpoints.forEach(
                each ->
                        made.merge(
                                each.configuration().pool().value(),
                                each.chunksEmitted(),
                                Long::sum));
        return made;
    }

    private long needed(String pool) {
        return mNeeded.getOrDefault(pool, 0L);
    }

    private boolean isMeasured(Fate fate) {
        return fate.arrivedIn(mWindow.startNanos(), mWindow.endNanos());
    }

    private double inTime(long fromNanos, long untilNanos) {
        return mFates.values().stream()
                .filter(fate -> fate.arrivedIn(fromNanos, untilNanos))
                .mapToInt(fate -> fate.isInTime() ? 1 : 0)
                .average()
                .orElse(1);
    }

    private double goodput(double capacityPerSecond) {
        double seconds = (mWindow.endNanos() - mWindow.startNanos()) / NANOS_PER_SECOND;
        long answers =
                mFates.values().stream()
                        .filter(fate -> fate.isInTimeIn(mWindow.startNanos(), mWindow.endNanos()))
                        .count();
        return answers / (seconds * capacityPerSecond);
    }
}
