package org.kumquatvane.verification.soak;

import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.verification.process.CallerConnection;
import org.kumquatvane.verification.process.RawResponse;

/** A caller that reuses its connection until it is closed and then connects to a random VM. */
final class SoakCaller implements Runnable {
  private static final int RECONNECT_PAUSE_MILLIS = 25;
  private static final int DEADLINE_MILLIS = 4_000;

  /** Longer than the deadline, so that a late response is still read. */
  private static final int READ_TIMEOUT_MILLIS = 8_000;

  private static final int OK = 200;

  private final List<SoakVm> vms;
  private final Queue<SoakRequest> sentRequests;
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
      Queue<SoakRequest> sentRequests,
      AtomicLong endNanos,
      int maximumPauseMillis) {
    this.name = name;
    this.vms = vms;
    this.sentRequests = sentRequests;
    this.endNanos = endNanos;
    this.maximumPauseMillis = maximumPauseMillis;
    random = new Random(seed);
  }

  @Override
  public void run() {
    while (System.nanoTime() < endNanos.get()) {
      try {
        Thread.sleep(1 + random.nextInt(Math.max(1, maximumPauseMillis)));
        sendRequest();
      } catch (IOException e) {
        // No connection was established, so no request was sent; another VM is tried.
        pauseBeforeReconnect();
        connection = null;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private static void pauseBeforeReconnect() {
    try {
      Thread.sleep(RECONNECT_PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendRequest() throws IOException {
    CallerConnection open = connection;
    if (open == null) {
      vm = random.nextInt(vms.size());
      open = new CallerConnection(vms.get(vm).callers().port(), READ_TIMEOUT_MILLIS);
      connection = open;
    }
    String id = name + "-" + sent++;
    String key =
        PublishedConfigurations.KEYS.get(random.nextInt(PublishedConfigurations.KEYS.size()));
    String path = choosePath();
    int processNumber = vms.get(vm).processNumber();
    long sentNanos = System.nanoTime();
    int status = SoakRequest.NO_RESPONSE;
    String problem = "";
    try {
      open.write(renderRequest(path, id, key));
      RawResponse response = open.readResponse();
      status = response.status();
      problem = findProblem(response, id);
      if (!response.isComplete() || response.header("Connection").equalsIgnoreCase("close")) {
        close(open);
      }
    } catch (IOException e) {
      problem = "connection: " + e;
      close(open);
    }
    sentRequests.add(
        new SoakRequest(
            id, vm, processNumber, key, path, sentNanos, System.nanoTime(), status, problem));
  }

  private String choosePath() {
    return switch (random.nextInt(5)) {
      case 0, 1 -> PublishedConfigurations.LOOK_UPS + sent;
      case 2 -> PublishedConfigurations.EXTRA + sent;
      default -> PublishedConfigurations.BOOKINGS + sent;
    };
  }

  private static String renderRequest(String path, String id, String key) {
    boolean isLookUp = path.startsWith(PublishedConfigurations.LOOK_UPS);
    String body = isLookUp ? "" : "a booking for " + id;
    return "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
            .formatted(isLookUp ? "GET" : "POST", path, id, DEADLINE_MILLIS)
        + "Authorization: Token %s\r\nContent-Length: %d\r\n\r\n%s"
            .formatted(key, body.length(), body);
  }

  private static String findProblem(RawResponse response, String id) {
    if (!response.isComplete()) {
      return SoakRequest.TRUNCATED;
    }
    if (response.status() != OK) {
      return "";
    }
    if (response.header("X-Response-Signature").isEmpty()) {
      return "success without the instance's signature";
    }
    return response.bodyText().equals(SoakRequest.responseBodyFor(id))
        ? ""
        : "body of another request";
  }

  private void close(CallerConnection open) {
    connection = null;
    try {
      open.close();
    } catch (IOException ignored) {
      // The connection is already closed.
    }
  }
}
