import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, one line per event, to the record of a case. */
final class Recorder implements AutoCloseable {

    private final PrintWriter file;

    private final long startNanos = System.nanoTime();

    Recorder(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
    }

    /** Returns the milliseconds since the case began. */
    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void record(String event) {
        file.printf("%8.3f %s%n", nowMillis() / 1000.0, event);
        file.flush();
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
