package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.verification.process.CallerConnection;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against requests that the end of a planned stop cuts off without an answer. The instance
 * never responds, and the deadlines of the requests are an hour away.
 */
class PlannedStopProcessTest {
  private static final int READ_TIMEOUT_MILLIS = 90_000;
  private static final int STOP_GRACE_SECONDS = 6;

  private PlatformFleet fleet;
  private RawInstance instance;
  private final List<String> received = new CopyOnWriteArrayList<>();

  @BeforeEach
  void start() throws IOException {
    fleet = new PlatformFleet(1, 1, STOP_GRACE_SECONDS);
    instance = new RawInstance((id, output) -> received.add(id));
    fleet.store().put("servers/raw", instance.storeEntry("faulty", 1));
    Conditions.await(
        "the instance is known",
        () -> fleet.getFromOperator(fleet.vm(0), "/v1/instances").body().contains("raw"),
        fleet.vm(0)::log);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    instance.close();
  }

  private CallerConnection send(String method, String id) throws IOException {
    CallerConnection caller = new CallerConnection(fleet.vm(0).callerPort(), READ_TIMEOUT_MILLIS);
    caller.write(
        method
            + " /patient/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: "
            + id
            + "\r\nX-Deadline-Ms: 3600000\r\nContent-Length: 0\r\nAuthorization: Token "
            + PlatformFleet.KEY
            + "\r\n\r\n");
    return caller;
  }

  /** The waiting request is told that it has not run, the running one that it may have. */
  @ParameterizedTest
  @ValueSource(strings = {"GET", "POST"})
  void requestsInProgressAreAnsweredBeforeTheEnd(String method) throws Exception {
    try (CallerConnection running = send(method, "running")) {
      Conditions.await("the request arrives", () -> received.contains("running"));
      try (CallerConnection waiting = send(method, "waiting")) {
        Conditions.await(
            "the request waits",
            () ->
                fleet
                    .getFromOperator(fleet.vm(0), "/v1/work")
                    .body()
                    .contains("\"requestsInFlight\" : 2"),
            fleet.vm(0)::log);
        fleet.vm(0).process().destroy();
        assertEquals(503, waiting.readResponse().status(), fleet.vm(0)::log);
      }
      assertEquals(504, running.readResponse().status(), fleet.vm(0)::log);
    }
    assertEquals(List.of("running"), received);
    assertEquals(0, fleet.vm(0).awaitExitCode());
  }
}
