import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What was sent, answered and run, in order of time, also as a file. */
final class Journal implements AutoCloseable {
    /** A request that an engine began to run. */
    record Run(String request, String engine, long millis, Http.Message message) {}

    private final PrintWriter mFile;
    private final long mStartNanos = System.nanoTime();
    private final Map<String, List<Run>> mRuns = new ConcurrentHashMap<>();

    Journal(Path file) throws Exception {
        mFile = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }

    synchronized void say(String text) {
        mFile.printf("%7d ms  %s%n", millis(), text);
        mFile.flush();
    }

    void ran(String request, String engine, Http.Message message) {
        mRuns.computeIfAbsent(
                        request, id -> java.util.Collections.synchronizedList(new ArrayList<>()))
                .add(new Run(request, engine, millis(), message));
        say(
                "run      "
                        + request
                        + " at "
                        + engine
                        + ", "
                        + message.method()
                        + " "
                        + message.target()
                        + ", "
                        + message.body().length
                        + " bytes");
    }

    List<Run> runs(String request) {
        return mRuns.getOrDefault(request, List.of());
    }

    List<Run> allRuns() {
        List<Run> all = new ArrayList<>();
        mRuns.values().forEach(all::addAll);
        return all;
    }

    @Override
    public void close() {
        mFile.close();
    }
}
