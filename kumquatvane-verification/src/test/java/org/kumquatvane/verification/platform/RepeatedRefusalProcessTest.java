package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against a second copy of an instance's refusal that is taken for its answer to the same
 * request, which it runs by now: the caller would be told that it has not run.
 */
class RepeatedRefusalProcessTest {
  private final Map<OutputStream, Set<String>> refusedOn = new ConcurrentHashMap<>();
  private final Set<String> refused = ConcurrentHashMap.newKeySet();
  private final List<String> runs = new CopyOnWriteArrayList<>();
  private PlatformFleet fleet;
  private RawInstance instance;

  @BeforeEach
  void start() throws IOException {
    fleet = new PlatformFleet(1, 1);
    instance = new RawInstance(this::respond);
    fleet.store().put("servers/raw", instance.storeEntry("faulty", 3));
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

  /** Refuses each request once, and writes that refusal again where it had written it. */
  private void respond(String id, OutputStream output) throws IOException {
    String refusal =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
            + "X-Request-Id: "
            + id
            + "\r\n\r\n";
    if (refused.add(id)) {
      refusedOn.computeIfAbsent(output, unused -> ConcurrentHashMap.newKeySet()).add(id);
      RawInstance.write(output, refusal);
      return;
    }
    runs.add(id);
    if (refusedOn.getOrDefault(output, Set.of()).contains(id)) {
      RawInstance.write(output, refusal);
    }
    RawInstance.write(output, RawInstance.head(id, "Content-Length: 4\r\n") + "done");
  }

  @ParameterizedTest
  @CsvSource({"GET, /faulty/1", "POST, /faulty-bookings/1"})
  void secondCopyOfRefusalDoesNotAnswerTheNextAttempt(String method, String target)
      throws Exception {
    for (int i = 0; i < 5; i++) {
      String id = UUID.randomUUID().toString();
      HttpResponse<String> response =
          fleet.send(fleet.vm(0), method, target, PlatformFleet.KEY, id);
      assertEquals(200, response.statusCode(), fleet.vm(0)::log);
      assertEquals(1, runs.stream().filter(id::equals).count());
    }
  }
}
