import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Record of what was sent, answered and run, in seconds from the start of the script. */
final class Record implements AutoCloseable {
  /** A request that an instance began to run. */
  record Run(double at, String requestId, String instance, String service, String target,
      String tenant) {}

  /** Something that an instance did with a request: arrive, run, finish, drop or reject. */
  record Event(double at, String what, String requestId, String instance) {}

  private final long startNanos = System.nanoTime();
  private final PrintWriter writer;
  private final List<Run> runs = new ArrayList<>();
  private final List<Event> events = new ArrayList<>();

  Record(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  double now() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void add(String line) {
    writer.println(String.format(Locale.ROOT, "%8.3f ", now()) + line);
    writer.flush();
  }

  synchronized void run(String requestId, Instance instance, Message request) {
    runs.add(
        new Run(now(), requestId, instance.id, instance.service, request.target(),
            request.header("x-tenant-id")));
    event("run", requestId, instance.id, " service=" + instance.service);
  }

  synchronized void event(String what, String requestId, String instance, String details) {
    events.add(new Event(now(), what, requestId, instance));
    add(what + " id=" + requestId + " instance=" + instance + details);
  }

  synchronized List<Event> events() {
    return List.copyOf(events);
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
