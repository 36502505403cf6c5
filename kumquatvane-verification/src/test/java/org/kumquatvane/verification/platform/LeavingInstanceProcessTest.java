package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against requests to an instance that has announced its leaving in a response, or that
 * wants none for some time, while the store still lists it as ready.
 */
class LeavingInstanceProcessTest {
  private static final int LATER_REQUESTS = 40;
  private static final String REFUSED =
      "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n";
  private static final String SERVED =
      "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n";

  private final AtomicInteger reachedLeaving = new AtomicInteger();
  private PlatformFleet fleet;
  private RawInstance leaving;
  private RawInstance staying;
  private volatile String announcement = "";

  @BeforeEach
  void start() throws IOException {
    fleet = new PlatformFleet(1, 1);
    leaving =
        new RawInstance(
            (id, output) -> {
              reachedLeaving.incrementAndGet();
              RawInstance.write(output, announcement + "X-Request-Id: " + id + "\r\n\r\n");
            });
    staying =
        new RawInstance(
            (id, output) -> RawInstance.write(output, SERVED + "X-Request-Id: " + id + "\r\n\r\n"));
    list("raw-announcing", leaving);
  }

  private void list(String name, RawInstance instance) {
    fleet.store().put("servers/" + name, instance.storeEntry("faulty", 3));
    Conditions.await(
        "the instance is known",
        () -> fleet.getFromOperator(fleet.vm(0), "/v1/instances").body().contains(name),
        fleet.vm(0)::log);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    leaving.close();
    staying.close();
  }

  /** The announcing instance is the one to which the VM has a connection. */
  @ParameterizedTest
  @CsvSource({
    "true, Server-Leaving: 1",
    "false, Server-Leaving: 1",
    "false, Retry-After: 3600",
  })
  void announcingInstanceGetsNoFurtherRequest(boolean isServed, String header) throws Exception {
    announcement = (isServed ? SERVED : REFUSED) + header + "\r\n";
    fleet.send(fleet.vm(0), "POST", "/faulty-bookings/1");
    assertEquals(1, reachedLeaving.get(), fleet.vm(0)::log);
    list("raw-staying", staying);
    for (int i = 0; i < LATER_REQUESTS; i++) {
      assertEquals(
          200,
          fleet.send(fleet.vm(0), "POST", "/faulty-bookings/1").statusCode(),
          fleet.vm(0)::log);
    }
    assertEquals(1, reachedLeaving.get(), fleet.vm(0)::log);
  }
}
