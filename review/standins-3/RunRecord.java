import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the time since its start. */
final class RunRecord implements AutoCloseable {
  private final long start = System.nanoTime();
  private final PrintWriter out;

  RunRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
  }

  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }

  synchronized void line(String text) {
    out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
  }

  /** Writes a line to the record and to standard output. */
  void say(String text) {
    line(text);
    System.out.println(text);
  }

  @Override
  public void close() {
    out.close();
  }
}
