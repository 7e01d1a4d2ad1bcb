package review3;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, with seconds since its start. Also printed. */
final class Record {
    private final StringBuilder text = new StringBuilder();
    private final Path file;
    private final long startNs = System.nanoTime();

    Record(Path file) {
        this.file = file;
    }

    double seconds() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    synchronized void line(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%8.3f  ", seconds())
                + String.format(Locale.ROOT, format, arguments);
        System.out.println(line);
        text.append(line).append('\n');
    }

    synchronized void save() {
        try {
            Files.writeString(file, text.toString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
