package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
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

  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  private final Map<String, List<RawInstance.Output>> refusedOn = new ConcurrentHashMap<>();
  private final List<String> runs = new CopyOnWriteArrayList<>();
  private final Set<String> listed = ConcurrentHashMap.newKeySet();
  private final List<RawInstance> instances = new ArrayList<>();
  private final Map<String, List<Integer>> statuses = new LinkedHashMap<>();
  private PlatformFleet fleet;
  private Return way = Return.SAME_NAME;
  private Refusal refusal = Refusal.NOT_EXECUTED;
  private Copy copy = Copy.BEFORE;
  private String service = "faulty";
  private int names;

  /** How a request comes back to an address that has refused it. */
  private enum Return {
    SAME_NAME(1, 1, 1),
    RENAMED(1, 1, 1),
    RENAMED_TWICE(1, 2, 1),
    TWO_NAMES_AT_ONCE(1, 1, 1),
    OTHER_SERVICE_AND_BACK(1, 1, 1),
    MAXIMUM_OF_ONE_CONNECTION(1, 1, 1),
    SEVERAL_INSTANCES(2, 2, 1),
    /** The VM names an instance that is gone, which the list says only after its refusal. */
    RENAMED_AFTER_REFUSAL(2, 1, 1),
    /** Another caller uses the id of a request that was refused in all its attempts. */
    LATER_CALLER(1, 3, 2),
    CALLERS_AT_ONCE(1, 1, 2);

    private final int instances;
    private final int refusals;
    private final int callers;

    /**
     * Creates a way back.
     *
     * @param instances instances of the service
     * @param refusals attempts that are refused before one runs
     * @param callers callers that send a request with the same id
     */
    Return(int instances, int refusals, int callers) {
      this.instances = instances;
      this.refusals = refusals;
      this.callers = callers;
    }
  }

  /** When the copy of a refusal is written: soon after it, or around the response of the run. */
  private enum Copy {
    LATE,
    BEFORE,
    WITHIN,
    AFTER
  }

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
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    for (RawInstance instance : instances) {
      instance.close();
    }
  }

  private void listAsNew(String ofService) {
    if (way != Return.TWO_NAMES_AT_ONCE) {
      listed.forEach(name -> fleet.store().remove("servers/" + name));
      listed.clear();
    }
    names++;
    for (int i = 0; i < instances.size(); i++) {
      String name = "raw-" + names + "-" + i;
      listed.add(name);
      fleet.store().put("servers/" + name, instances.get(i).storeEntry(ofService, 3));
      Conditions.await("the instance is known", () -> isKnown(name), fleet.vm(0)::log);
    }
  }

  private void rename() {
    if (way == Return.OTHER_SERVICE_AND_BACK) {
      listAsNew("sessions");
    }
    listAsNew(service);
  }

  private boolean isKnown(String name) throws IOException, InterruptedException {
    return fleet.getFromOperator(fleet.vm(0), "/v1/instances").body().contains('"' + name + '"');
  }

  /** Refuses each request at first, and writes that refusal again where it had written it. */
  private void respond(String id, RawInstance.Output output)
      throws IOException, InterruptedException {
    if (output.expectedInstance().isEmpty()) {
      RawInstance.write(output, RawInstance.head(id, "Content-Length: 0\r\n"));
      return;
    }
    List<RawInstance.Output> carriers =
        refusedOn.computeIfAbsent(id, unused -> new CopyOnWriteArrayList<>());
    synchronized (this) {
      if (carriers.size() < way.refusals || !listed.contains(output.expectedInstance())) {
        carriers.add(output);
        refuse(id, output);
        return;
      }
    }
    runs.add(id);
    writeCopies(Copy.BEFORE, id);
    RawInstance.write(output, RawInstance.head(id, "Content-Length: 4\r\n"));
    writeCopies(Copy.WITHIN, id);
    RawInstance.write(output, "done");
    writeCopies(Copy.AFTER, id);
  }

  private void refuse(String id, RawInstance.Output output)
      throws IOException, InterruptedException {
    // A request that the VM sent to the name before must not cause another one.
    boolean isRenamed = way != Return.SAME_NAME && listed.contains(output.expectedInstance());
    if (isRenamed && way != Return.RENAMED_AFTER_REFUSAL) {
      rename();
    }
    RawInstance.write(output, refusal.response(id));
    if (isRenamed && way == Return.RENAMED_AFTER_REFUSAL) {
      rename();
    }
    if (copy == Copy.LATE) {
      Thread.sleep(5);
      writeCopies(Copy.LATE, id);
    }
  }

  private void writeCopies(Copy now, String id) {
    List<RawInstance.Output> carriers =
        now == copy ? refusedOn.getOrDefault(id, List.of()) : List.of();
    for (RawInstance.Output carrier : carriers) {
      try {
        RawInstance.write(carrier, refusal.response(id));
      } catch (IOException closedByVm) {
        // The VM closes an idle connection at the first byte.
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"GET, /faulty/1", "POST, /faulty-bookings/1"})
  void secondCopyOfRefusalDoesNotAnswerTheNextAttempt(String method, String target)
      throws Exception {
    for (Copy tried : Copy.values()) {
      copy = tried;
      sendRequests(target, Collections.nCopies(REQUESTS, method));
    }
    verify();
  }

  /** An address may pass to another instance, whose name was never sent the request. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SAME_NAME")
  void secondCopyOfRefusalDoesNotAnswerTheNextAttemptAtTheAddress(Return tried) throws Exception {
    way = tried;
    service = way == Return.MAXIMUM_OF_ONE_CONNECTION ? "single" : service;
    for (Refusal kind : Refusal.values()) {
      for (Copy time : Copy.values()) {
        refusal = kind;
        copy = time;
        sendRequests("/patient-" + service + "/1", List.of("POST", "GET", "POST"));
      }
    }
    verify();
  }

  private void sendRequests(String target, List<String> methods) throws Exception {
    while (instances.size() < way.instances) {
      instances.add(new RawInstance(this::respond));
    }
    listAsNew(service);
    for (String method : methods) {
      String id = refusal + "-" + copy + "-" + UUID.randomUUID();
      statuses.put(id, send(method, target, id));
    }
  }

  private List<Integer> send(String method, String target, String id) {
    HttpRequest request = fleet.createRequest(fleet.vm(0), method, target, PlatformFleet.KEY, id);
    List<CompletableFuture<Integer>> told = new ArrayList<>();
    for (int i = 0; i < way.callers; i++) {
      told.add(
          fleet
              .client()
              .sendAsync(request, HttpResponse.BodyHandlers.ofString())
              .thenApply(RepeatedRefusalProcessTest::statusOf));
      if (way == Return.LATER_CALLER) {
        told.get(i).join();
      }
    }
    return told.stream().map(CompletableFuture::join).toList();
  }

  /** Returns 0 for anything but the response of the run or a refusal. */
  private static int statusOf(HttpResponse<String> response) {
    int status = response.statusCode();
    return response.body().equals("done") || NOT_RUN_STATUSES.contains(status) ? status : 0;
  }

  private void verify() {
    List<String> faults = new ArrayList<>();
    statuses.forEach(
        (id, told) -> {
          long ran = runs.stream().filter(id::equals).count();
          long notRun = told.stream().filter(NOT_RUN_STATUSES::contains).count();
          long expected = way == Return.LATER_CALLER ? 1 : 0;
          if (ran + notRun != way.callers || notRun != expected || told.contains(0)) {
            faults.add(id + " ran " + ran + " times, callers were told " + told);
          }
        });
    assertEquals(List.of(), faults, fleet.vm(0)::log);
  }
}
