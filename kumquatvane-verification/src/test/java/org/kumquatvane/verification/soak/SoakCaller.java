package org.kumquatvane.verification.soak;

import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.verification.process.Answer;
import org.kumquatvane.verification.process.CallerConnection;

/** A caller that keeps its connection until the other side ends it, and then takes any VM. */
final class SoakCaller implements Runnable {
  private static final int PAUSE_MILLIS = 25;
  private static final int DEADLINE_MILLIS = 4_000;

  /** Longer than the deadline, so that a late answer is still read. */
  private static final int READ_LIMIT_MILLIS = 8_000;

  private static final int OK = 200;

  private final List<SoakVm> vms;
  private final Queue<Exchanged> exchanged;
  private final AtomicLong endNanos;
  private final Random random;
  private final String name;
  private final int maximumPauseMillis;
  private @Nullable CallerConnection connection;
  private int vm;
  private int sent;

  SoakCaller(
      String name,
      long seed,
      List<SoakVm> vms,
      Queue<Exchanged> exchanged,
      AtomicLong endNanos,
      int maximumPauseMillis) {
    this.name = name;
    this.vms = vms;
    this.exchanged = exchanged;
    this.endNanos = endNanos;
    this.maximumPauseMillis = maximumPauseMillis;
    random = new Random(seed);
  }

  @Override
  public void run() {
    while (System.nanoTime() < endNanos.get()) {
      try {
        Thread.sleep(1 + random.nextInt(Math.max(1, maximumPauseMillis)));
        request();
      } catch (IOException e) {
        // No VM was reached, so nothing was asked; another one is tried.
        pause();
        connection = null;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void request() throws IOException {
    CallerConnection open = connection;
    if (open == null) {
      vm = random.nextInt(vms.size());
      open = new CallerConnection(vms.get(vm).callers().port(), READ_LIMIT_MILLIS);
      connection = open;
    }
    String id = name + "-" + sent++;
    String key = Configurations.KEYS.get(random.nextInt(Configurations.KEYS.size()));
    String path = path();
    int life = vms.get(vm).life();
    long sentNanos = System.nanoTime();
    int status = Exchanged.NO_ANSWER;
    String problem = "";
    try {
      open.write(head(path, id, key));
      Answer answer = open.read();
      status = answer.status();
      problem = problemOf(answer, id);
      if (!answer.isWhole() || answer.header("Connection").equalsIgnoreCase("close")) {
        close(open);
      }
    } catch (IOException e) {
      problem = "connection: " + e;
      close(open);
    }
    exchanged.add(
        new Exchanged(id, vm, life, key, path, sentNanos, System.nanoTime(), status, problem));
  }

  private String path() {
    return switch (random.nextInt(5)) {
      case 0, 1 -> Configurations.LOOK_UPS + sent;
      case 2 -> Configurations.EXTRA + sent;
      default -> Configurations.BOOKINGS + sent;
    };
  }

  private static String head(String path, String id, String key) {
    boolean isLookUp = path.startsWith(Configurations.LOOK_UPS);
    String body = isLookUp ? "" : "a booking for " + id;
    return "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
            .formatted(isLookUp ? "GET" : "POST", path, id, DEADLINE_MILLIS)
        + "Authorization: Token %s\r\nContent-Length: %d\r\n\r\n%s"
            .formatted(key, body.length(), body);
  }

  private static String problemOf(Answer answer, String id) {
    if (!answer.isWhole()) {
      return Exchanged.CUT_SHORT;
    }
    if (answer.status() != OK) {
      return "";
    }
    if (answer.header("X-Response-Signature").isEmpty()) {
      return "success without the instance's signature";
    }
    return answer.text().equals(Exchanged.bodyFor(id)) ? "" : "body of another request";
  }

  private void close(CallerConnection open) {
    connection = null;
    try {
      open.close();
    } catch (IOException ignored) {
      // The connection has ended anyway.
    }
  }
}
