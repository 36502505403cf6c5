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
import org.junit.jupiter.params.provider.EnumSource;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against a second copy of an instance's refusal that is taken for its answer to the same
 * request, which it runs by now: the request would run again elsewhere, or the caller would be told
 * that it has not run.
 */
class RepeatedRefusalProcessTest {
  private static final int REQUESTS = 5;
  private static final String OTHER = "other";

  private final Map<OutputStream, Set<String>> refusedOn = new ConcurrentHashMap<>();
  private final Set<String> refused = ConcurrentHashMap.newKeySet();
  private final List<String> runs = new CopyOnWriteArrayList<>();
  private PlatformFleet fleet;
  private RawInstance instance;
  private RawInstance other;
  private Refusal refusal = Refusal.NOT_EXECUTED;
  private boolean isRenamed;
  private int names;

  /** How the instance states that it has not run a request. */
  private enum Refusal {
    NOT_EXECUTED("503 Service Unavailable\r\nX-Not-Executed: 1"),
    OTHER_INSTANCE("421 Misdirected Request");

    private final String head;

    Refusal(String head) {
      this.head = head;
    }

    private String response(String id) {
      return "HTTP/1.1 " + head + "\r\nContent-Length: 0\r\nX-Request-Id: " + id + "\r\n\r\n";
    }
  }

  @BeforeEach
  void start() throws IOException {
    fleet = new PlatformFleet(1, 1);
    instance = new RawInstance(this::respond);
    other = new RawInstance(this::run);
    list(name(), instance);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    instance.close();
    other.close();
  }

  private String name() {
    return "raw-" + names;
  }

  private void list(String name, RawInstance listed) {
    fleet.store().put("servers/" + name, listed.storeEntry("faulty", 3));
    Conditions.await("the instance is known", () -> isKnown(name), fleet.vm(0)::log);
  }

  private void remove(String name) {
    fleet.store().remove("servers/" + name);
    Conditions.await("the instance is gone", () -> !isKnown(name), fleet.vm(0)::log);
  }

  private boolean isKnown(String name) throws IOException, InterruptedException {
    return fleet.getFromOperator(fleet.vm(0), "/v1/instances").body().contains('"' + name + '"');
  }

  /** Refuses each request once, and writes that refusal again where it had written it. */
  private void respond(String id, OutputStream output) throws IOException {
    if (refused.add(id)) {
      refusedOn.computeIfAbsent(output, unused -> ConcurrentHashMap.newKeySet()).add(id);
      if (isRenamed) {
        remove(name());
        names++;
        list(name(), instance);
      }
      RawInstance.write(output, refusal.response(id));
      return;
    }
    runs.add(id);
    if (refusedOn.getOrDefault(output, Set.of()).contains(id)) {
      // A repeat of the request has another instance to go to.
      list(OTHER, other);
      RawInstance.write(output, refusal.response(id));
    }
    RawInstance.write(output, RawInstance.head(id, "Content-Length: 4\r\n") + "done");
  }

  private void run(String id, OutputStream output) throws IOException {
    runs.add(id);
    RawInstance.write(output, RawInstance.head(id, "Content-Length: 4\r\n") + "done");
  }

  @ParameterizedTest
  @CsvSource({"GET, /faulty/1", "POST, /faulty-bookings/1"})
  void secondCopyOfRefusalDoesNotAnswerTheNextAttempt(String method, String target)
      throws Exception {
    sendRequests(method, target);
  }

  /** An address may pass to another instance, whose name was never sent the request. */
  @ParameterizedTest
  @EnumSource(Refusal.class)
  void secondCopyOfRefusalDoesNotAnswerTheNextAttemptAtTheAddress(Refusal kind) throws Exception {
    refusal = kind;
    isRenamed = true;
    sendRequests("POST", "/faulty-bookings/1");
  }

  private void sendRequests(String method, String target) throws Exception {
    for (int i = 0; i < REQUESTS; i++) {
      String id = UUID.randomUUID().toString();
      HttpResponse<String> response =
          fleet.send(fleet.vm(0), method, target, PlatformFleet.KEY, id);
      assertEquals(1, runs.stream().filter(id::equals).count(), fleet.vm(0)::log);
      assertEquals(200, response.statusCode(), fleet.vm(0)::log);
    }
  }
}
