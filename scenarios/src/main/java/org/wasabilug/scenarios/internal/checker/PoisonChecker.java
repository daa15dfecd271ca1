package org.wasabilug.scenarios.internal.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/**
 * POISON: no instance sends content to a third endpoint later than one second after it crashed the
 * second, unless the instance was isolated from updates within that time.
 */
public final class PoisonChecker implements InvariantChecker {
    /** Creates the checker. */
    public PoisonChecker() {}

    private static final Pattern CONTENT = Pattern.compile("POISON[-A-Za-z0-9]*");
    private static final long PROPAGATION_NANOS = VirtualClock.SECOND_NANOS;
    private static final int MAX_CRASHES = 2;

    @Override
    public List<Violation> check(History history) {
        Map<String, List<History.Entry>> crashes = new HashMap<>();
        IsolationTracker isolation = new IsolationTracker();
        List<Violation> violations = new ArrayList<>();
        for (History.Entry entry : history.entries()) {
            switch (entry.event()) {
                case HistoryEvent.Crashed event ->
                        poisonIn(event.content())
                                .ifPresent(
                                        content ->
                                                crashes.computeIfAbsent(
                                                                content,
                                                                ignored -> new ArrayList<>())
                                                        .add(entry));
                case HistoryEvent.Isolated event -> isolation.update(event, entry.atNanos());
                case HistoryEvent.Received event -> {
                    if (!isolation.wasIsolated(
                            event.instance(), event.sentNanos(), PROPAGATION_NANOS)) {
                        checkReceived(event, entry, crashes, violations);
                    }
                }
                default -> {
                    // Other events do not concern crashing content.
                }
            }
        }
        return violations;
    }

    private static void checkReceived(
            HistoryEvent.Received event,
            History.Entry entry,
            Map<String, List<History.Entry>> crashes,
            List<Violation> violations) {
        List<History.Entry> earlier =
                poisonIn(event.content())
                        .map(content -> crashes.getOrDefault(content, List.of()))
                        .orElse(List.of());
        if (earlier.size() >= MAX_CRASHES
                && event.sentNanos() > earlier.get(1).atNanos() + PROPAGATION_NANOS) {
            List<History.Entry> trace = new ArrayList<>(earlier);
            trace.add(entry);
            violations.add(
                    new Violation(
                            "POISON", "content sent to a third endpoint after two crashes", trace));
        }
    }

    private static Optional<String> poisonIn(String content) {
        Matcher matcher = CONTENT.matcher(content);
        return matcher.find() ? Optional.of(matcher.group()) : Optional.empty();
    }
}
