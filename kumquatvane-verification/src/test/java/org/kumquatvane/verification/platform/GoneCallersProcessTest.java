package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.verification.process.CallerConnection;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against work that goes on, or begins, after its caller has left, and against memory that
 * abandoned requests keep. Deadlines are an hour away, so only the leaving ends a request.
 */
class GoneCallersProcessTest {
  private static final int READ_TIMEOUT_MILLIS = 90_000;
  private static final String TARGET = "/patient/1";
  private static final int LARGE_BODY_BYTES = 99_000;

  /** Requests whose bodies together exceed the memory for buffered bodies, 12 MB. */
  private static final int REQUESTS_BEYOND_BUDGET = 150;

  private PlatformFleet fleet;
  private RawInstance instance;
  private final List<String> received = new CopyOnWriteArrayList<>();

  @BeforeEach
  void start() throws IOException {
    fleet = new PlatformFleet(1, 1);
    instance = new RawInstance((id, output) -> received.add(id));
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    instance.close();
  }

  private void listInstance(int slots) {
    fleet.store().put("servers/raw", instance.storeEntry("faulty", slots));
    Conditions.await(
        "the instance is known",
        () -> fleet.getFromOperator(fleet.vm(0), "/v1/instances").body().contains("raw"),
        fleet.vm(0)::log);
  }

  private CallerConnection connect() throws IOException {
    return new CallerConnection(fleet.vm(0).callerPort(), READ_TIMEOUT_MILLIS);
  }

  private static String request(String target, String id, int bodyBytes) {
    return (bodyBytes == 0 ? "GET " : "POST ")
        + target
        + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: "
        + id
        + "\r\nX-Deadline-Ms: 3600000\r\nAuthorization: Token "
        + PlatformFleet.KEY
        + (bodyBytes == 0 ? "" : "\r\nContent-Length: " + bodyBytes)
        + "\r\n\r\n"
        + "b".repeat(bodyBytes);
  }

  private CallerConnection sendAndAwaitArrival(String id, int bodyBytes) throws IOException {
    CallerConnection caller = connect();
    caller.write(request(TARGET, id, bodyBytes));
    Conditions.await("the request arrives", () -> received.contains(id), fleet.vm(0)::log);
    return caller;
  }

  private static void leave(CallerConnection caller, String how) throws IOException {
    if (how.equals("reset")) {
      caller.reset();
    }
    caller.close();
  }

  /** The VM must close the connection to the instance, which then drops the request. */
  @ParameterizedTest
  @CsvSource({"close, 0, 0", "close, 2, 0", "close, 0, 2000", "close, 0, 99000", "reset, 0, 0"})
  void runningWorkIsCancelled(String how, int earlierRequests, int bodyBytes) throws Exception {
    listInstance(2);
    CallerConnection caller = connect();
    for (int i = 0; i < earlierRequests; i++) {
      caller.write(request("/lookups/1", UUID.randomUUID().toString(), 0));
      assertEquals(200, caller.readResponse().status());
    }
    caller.write(request(TARGET, "left", bodyBytes));
    Conditions.await("the request arrives", () -> received.contains("left"), fleet.vm(0)::log);
    leave(caller, how);
    Conditions.await(
        "the VM closes the connection to the instance",
        () -> instance.openConnections() == 0,
        fleet.vm(0)::log);
  }

  /** A queued request must not reach an instance after its caller has left. */
  @ParameterizedTest
  @CsvSource({"close, 0", "close, 2000", "reset, 0"})
  void queuedRequestIsDropped(String how, int bodyBytes) throws Exception {
    listInstance(1);
    CallerConnection running = sendAndAwaitArrival("running", 0);
    CallerConnection queued = connect();
    queued.write(request(TARGET, "queued", bodyBytes));
    Conditions.await("the request waits", () -> inFlight() == 2, fleet.vm(0)::log);
    leave(queued, how);
    Conditions.await("the request is dropped", () -> inFlight() == 1, fleet.vm(0)::log);
    leave(running, "close");
    CallerConnection next = sendAndAwaitArrival("next", 0);
    assertFalse(received.contains("queued"));
    next.close();
  }

  private int inFlight() throws IOException, InterruptedException {
    String work = fleet.getFromOperator(fleet.vm(0), "/v1/work").body();
    return Integer.parseInt(work.replaceAll("(?s).*\"requestsInFlight\"\\s*:\\s*(\\d+).*", "$1"));
  }

  /** Requests that were abandoned must not use up the memory for the bodies of later ones. */
  @Test
  void abandonedBodiesAreReleased() throws Exception {
    listInstance(2);
    for (int i = 0; i < REQUESTS_BEYOND_BUDGET; i++) {
      CallerConnection caller = sendAndAwaitArrival("abandoned-" + i, LARGE_BODY_BYTES);
      leave(caller, "close");
      Conditions.await(
          "the request is abandoned", () -> instance.openConnections() == 0, fleet.vm(0)::log);
    }
    try (CallerConnection caller = connect()) {
      caller.write(request("/lookups/1", "later", LARGE_BODY_BYTES));
      assertEquals(200, caller.readResponse().status(), fleet.vm(0)::log);
    }
  }
}
