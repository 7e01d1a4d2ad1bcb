import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start in seconds. */
final class Record {
    private final PrintWriter out;
    private final long startMs = System.nanoTime() / 1_000_000;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        out.printf(java.util.Locale.ROOT, "%8.3f %s%n", (System.nanoTime() / 1_000_000 - startMs) / 1000.0, text);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String text) {
        System.out.println(text);
        line(text);
    }
}
