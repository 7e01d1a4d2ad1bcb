import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line for each event, with the seconds since its start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Milliseconds since the start of the case. */
    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        out.println(String.format(Locale.ROOT, "%8.3f  ", nowMs() / 1_000.0)
                + String.format(Locale.ROOT, format, arguments));
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
