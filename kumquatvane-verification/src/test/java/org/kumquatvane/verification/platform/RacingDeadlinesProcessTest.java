package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against a response that reaches the wrong request, or a request twice, when it arrives at
 * the same moment as the end of its attempt: the deadline, an early retry, the second attempt after
 * a refusal, or the caller's leaving.
 */
class RacingDeadlinesProcessTest {
  private static final int CALLERS = 24;
  private static final int REQUESTS_PER_CALLER = 150;
  private static final int INSTANCES = 3;
  private static final int SLOTS = 40;
  private static final int MINIMUM_DEADLINE_MILLIS = 20;
  private static final int MAXIMUM_DEADLINE_MILLIS = 60;
  private static final int SAFE_DEADLINE_MILLIS = 2_000;

  /** Times around the deadline at which an instance answers. */
  private static final int MAXIMUM_OFFSET_MILLIS = 6;

  private static final int BODY_BYTES = 2_000;
  private static final long SILENCE_MILLIS = 100;

  private final List<SigningInstance> instances = new ArrayList<>();
  private PlatformFleet fleet;

  @BeforeEach
  void start() throws IOException {
    fleet = new PlatformFleet(1, 1);
    for (int i = 0; i < INSTANCES; i++) {
      SigningInstance instance = new SigningInstance(RacingDeadlinesProcessTest::respond);
      instances.add(instance);
      fleet.store().put("servers/signing-" + i, instance.storeEntry("faulty", SLOTS));
    }
    Conditions.await(
        "the instances are known",
        () -> fleet.getFromOperator(fleet.vm(0), "/v1/instances").body().contains("signing-2"),
        fleet.vm(0)::log);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    for (SigningInstance instance : instances) {
      instance.close();
    }
  }

  private static void respond(SigningInstance.Request request, OutputStream output)
      throws IOException, InterruptedException {
    request.readBody();
    Thread.sleep(request.parameter("delay"));
    int status = request.parameter("status");
    if (status == 503) {
      RawInstance.write(
          output,
          "HTTP/1.1 503 S\r\nX-Request-Id: "
              + request.id()
              + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    request.countRun();
    String response =
        SigningInstance.response(request.id(), status, request.parameter("length"), "");
    // In two parts, so that the end of an attempt falls between them too.
    int first = response.length() * 2 / 3;
    RawInstance.write(output, response.substring(0, first));
    Thread.sleep(request.parameter("pause"));
    RawInstance.write(output, response.substring(first));
  }

  @ParameterizedTest
  @CsvSource({
    "GET, /faulty/1, 0, false",
    "GET, /faulty/1, 0, true",
    "POST, /faulty-bookings/1, 700, true"
  })
  void responsesAroundTheDeadlineReachOnlyTheirRequests(
      String method, String target, int bodyLength, boolean callersLeave) throws Exception {
    raceDeadlines(method, target, bodyLength, callersLeave);
  }

  @Tag("known-red")
  @ParameterizedTest
  @CsvSource("POST, /faulty-bookings/1, 700, false")
  void responsesToUnsafeRequestsAroundTheDeadlineReachOnlyTheirRequests(
      String method, String target, int bodyLength, boolean callersLeave) throws Exception {
    raceDeadlines(method, target, bodyLength, callersLeave);
  }

  private void raceDeadlines(String method, String target, int bodyLength, boolean callersLeave)
      throws Exception {
    List<CheckedCaller> callers = new ArrayList<>();
    List<Callable<Void>> runs = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      CheckedCaller caller = new CheckedCaller(fleet.vm(0).callerPort());
      SplittableRandom random = new SplittableRandom(i);
      callers.add(caller);
      runs.add(
          () -> {
            for (int n = 0; n < REQUESTS_PER_CALLER; n++) {
              sendOne(caller, random, method, target, bodyLength, callersLeave);
            }
            caller.checkSilence(SILENCE_MILLIS);
            return null;
          });
    }
    ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
    try {
      for (Future<Void> run : threads.invokeAll(runs)) {
        run.get();
      }
    } finally {
      threads.shutdownNow();
    }
    List<Integer> statuses = callers.stream().flatMap(c -> c.statuses().stream()).toList();
    String tally =
        statuses.stream()
            .collect(Collectors.groupingBy(status -> status, Collectors.counting()))
            .toString();
    for (CheckedCaller caller : callers) {
      assertEquals(List.of(), caller.faults(), fleet.vm(0)::log);
      caller.close();
    }
    checkRuns(callers, method.equals("POST"));
    // Without both outcomes the test has raced nothing.
    assertTrue(statuses.stream().filter(status -> status == 200).count() > CALLERS, tally);
    assertTrue(
        statuses.stream().filter(status -> status == 504 || status == CheckedCaller.LEFT).count()
            > CALLERS,
        tally);
    assertTrue(fleet.vm(0).process().isAlive(), fleet.vm(0)::log);
  }

  private static void sendOne(
      CheckedCaller caller,
      SplittableRandom random,
      String method,
      String target,
      int bodyLength,
      boolean callersLeave)
      throws IOException, InterruptedException {
    // Most requests have time, since instances that miss all deadlines would be avoided.
    boolean isRace = random.nextInt(3) == 0;
    int raced = random.nextInt(MINIMUM_DEADLINE_MILLIS, MAXIMUM_DEADLINE_MILLIS);
    int deadline = isRace ? raced : SAFE_DEADLINE_MILLIS;
    int delay =
        isRace
            ? raced + random.nextInt(-MAXIMUM_OFFSET_MILLIS, MAXIMUM_OFFSET_MILLIS)
            : random.nextInt(MAXIMUM_OFFSET_MILLIS);
    int kind = random.nextInt(20);
    int status = kind == 0 ? 503 : kind == 1 ? 500 : 200;
    String query =
        "?delay=%d&status=%d&length=%d&pause=%d"
            .formatted(delay, status, random.nextInt(BODY_BYTES), random.nextInt(3));
    try {
      String id = caller.send(method, target + query, deadline, bodyLength);
      if (callersLeave && random.nextInt(3) == 0) {
        Thread.sleep(Math.max(0, delay + random.nextInt(-3, 3)));
        caller.leave();
        return;
      }
      caller.receive(id);
    } catch (IOException endedByVm) {
      // Promises nothing; the next request opens a connection.
      caller.reset();
    }
  }

  private void checkRuns(List<CheckedCaller> callers, boolean isUnsafe) {
    Set<String> sent =
        callers.stream().flatMap(c -> c.sentIds().stream()).collect(Collectors.toSet());
    for (SigningInstance instance : instances) {
      assertEquals(List.of(), instance.faults());
      assertTrue(sent.containsAll(instance.ranIds()), "an instance ran what nobody sent");
    }
    if (isUnsafe) {
      sent.forEach(id -> assertTrue(countRuns(id) <= 1, "request " + id + " ran twice"));
      callers.forEach(
          caller ->
              caller
                  .refusedIds()
                  .forEach(id -> assertEquals(0, countRuns(id), "refused " + id + " ran")));
    }
  }

  private int countRuns(String id) {
    return instances.stream().mapToInt(instance -> instance.countRuns(id)).sum();
  }
}
