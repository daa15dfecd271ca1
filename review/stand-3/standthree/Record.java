package standthree;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {
    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mOut;

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        double seconds = (System.nanoTime() - mStartNanos) / 1e9;
        mOut.println(String.format(Locale.ROOT, "%8.3f s  %s", seconds, text));
        mOut.flush();
    }

    @Override
    public void close() {
        mOut.close();
    }
}
