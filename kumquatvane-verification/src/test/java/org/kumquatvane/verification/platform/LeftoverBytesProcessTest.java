package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.EOFException;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.kumquatvane.verification.platform.LeftoverRow.NextResponse;
import org.kumquatvane.verification.process.CallerConnection;
import org.kumquatvane.verification.process.Conditions;
import org.kumquatvane.verification.process.RawResponse;

/**
 * Guards against bytes after a complete response that become part of the next response on the
 * connection: the caller of the next request would get a status that its instance did not give.
 *
 * <p>Each row has an instance of its own, so that neither connections nor failures of another row
 * have an effect on it. A VM learns of an instance after some 300 ms, so that rows run in parallel,
 * each with a service that no other row uses meanwhile.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class LeftoverBytesProcessTest {
  private static final int SERVICES = 16;
  private static final int READ_TIMEOUT_MILLIS = 10_000;

  /** Above the versions that the fleet publishes. */
  private static final String CONFIGURATION_VERSION = "00001000";

  /** Statuses of a VM that leave open whether the request has run. */
  private static final Set<Integer> OWN_FAILURES = Set.of(502, 504);

  private final ExecutorService threads = Executors.newFixedThreadPool(SERVICES);
  private final ThreadLocal<Integer> service =
      ThreadLocal.withInitial(new AtomicInteger()::getAndIncrement);

  /** Tells the requests of this run from those of others on the machine. */
  private final int runId = new SecureRandom().nextInt();

  private final AtomicInteger requestCount = new AtomicInteger();
  private final Map<String, Future<String>> results = new ConcurrentHashMap<>();
  private PlatformFleet fleet;

  @BeforeAll
  void startRows() throws IOException {
    fleet = new PlatformFleet(1, 1);
    publishServices();
    Conditions.await(
        "the routes are known",
        () -> fleet.send(fleet.vm(0), "GET", "/safe-0/1").statusCode() == 503,
        fleet.vm(0)::log);
    controls().forEach(row -> start(row, this::findChange));
    Stream.of(cutCopies(), otherBytes(), framings(), nextResponses())
        .flatMap(rows -> rows)
        .forEach(row -> start(row, this::findFault));
  }

  private void start(LeftoverRow row, RowCheck check) {
    results.put(row.toString(), threads.submit(() -> run(row, check)));
  }

  @AfterAll
  void stopFleet() {
    threads.shutdownNow();
    fleet.close();
  }

  private void publishServices() {
    fleet
        .store()
        .put(
            "op/config",
            """
            {"version":"%s",
             "routes":{"columns":["name","hostname","pathPrefix","type","timeoutS",
                                  "targetLatencyS","priority","service","maxAttempts"],
              "rows":[["look-ups","127.0.0.1","/lookups/","safe",2,1,1,"sessions",2],%s]},
             "services":{"columns":["name","healthPath","maxConnections","protocol","tls"],
              "rows":[["sessions","/healthz",330,"h1",false],%s]},
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutS":3,
                       "idleTimeoutS":15},
             "tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],
              "rows":[["alpha",["%s"],null,0,0]]}}
            """
                .formatted(
                    CONFIGURATION_VERSION,
                    listServices(index -> route("safe", index) + "," + route("unsafe", index)),
                    listServices(
                        index -> "[\"service-" + index + "\",\"/healthz\",330,\"h1\",false]"),
                    PlatformFleet.KEY));
  }

  private static String listServices(Function<Integer, String> entry) {
    return IntStream.range(0, SERVICES).boxed().map(entry).collect(Collectors.joining(","));
  }

  private static String route(String type, int index) {
    return """
        ["%1$s-%2$d","127.0.0.1","/%1$s-%2$d/","%1$s",2,1,1,"service-%2$d",2]"""
        .formatted(type, index);
  }

  static Stream<LeftoverRow> controls() {
    return Stream.concat(
        Arrays.stream(ResponseFraming.values())
            .flatMap(framing -> rows(Leftover.NOTHING, framing, NextResponse.INTERNAL_ERROR)),
        EnumSet.complementOf(EnumSet.of(NextResponse.INTERNAL_ERROR)).stream()
            .flatMap(next -> rows(Leftover.NOTHING, ResponseFraming.CONTENT_LENGTH, next)));
  }

  private static Stream<LeftoverRow> rows(
      Leftover leftover, ResponseFraming framing, NextResponse next) {
    return Stream.of("POST", "GET")
        .map(
            method ->
                new LeftoverRow(
                    leftover, LeftoverTiming.WITH_PREVIOUS_RESPONSE, framing, next, method));
  }

  static Stream<LeftoverRow> cutCopies() {
    return Stream.concat(Leftover.cutCopies(), Leftover.cutCopiesWithLastId())
        .flatMap(
            leftover ->
                Stream.of(
                    LeftoverRow.ofFailure(leftover, LeftoverTiming.WITH_PREVIOUS_RESPONSE),
                    LeftoverRow.ofFailure(leftover, LeftoverTiming.WITH_NEXT_RESPONSE)));
  }

  static Stream<LeftoverRow> otherBytes() {
    Stream<LeftoverRow> atAnyTime =
        Leftover.others()
            .flatMap(
                leftover ->
                    Arrays.stream(LeftoverTiming.values())
                        .map(timing -> LeftoverRow.ofFailure(leftover, timing)));
    Stream<LeftoverRow> withBothIds =
        Leftover.withBothIds()
            .flatMap(
                leftover ->
                    Stream.of(
                            LeftoverTiming.WITH_NEXT_RESPONSE, LeftoverTiming.BEFORE_NEXT_RESPONSE)
                        .map(timing -> LeftoverRow.ofFailure(leftover, timing)));
    Stream<LeftoverRow> inOwnWrite =
        Leftover.cutReasonPhrases()
            .flatMap(
                leftover ->
                    Stream.of(
                            LeftoverTiming.AFTER_PREVIOUS_RESPONSE,
                            LeftoverTiming.SHORTLY_AFTER_PREVIOUS_RESPONSE,
                            LeftoverTiming.BEFORE_NEXT_RESPONSE)
                        .map(timing -> LeftoverRow.ofFailure(leftover, timing)));
    return Stream.of(atAnyTime, withBothIds, inOwnWrite).flatMap(rows -> rows);
  }

  static Stream<LeftoverRow> framings() {
    return EnumSet.complementOf(
            EnumSet.of(ResponseFraming.CONTENT_LENGTH, ResponseFraming.UNTIL_CLOSE))
        .stream()
        .flatMap(framing -> Leftover.combined().flatMap(leftover -> rowsAfter(framing, leftover)));
  }

  private static Stream<LeftoverRow> rowsAfter(ResponseFraming framing, Leftover leftover) {
    // A status that the previous response does not have.
    NextResponse next =
        framing == ResponseFraming.FAILURE ? NextResponse.SUCCESS : NextResponse.INTERNAL_ERROR;
    return Stream.of(LeftoverTiming.WITH_PREVIOUS_RESPONSE, LeftoverTiming.WITH_NEXT_RESPONSE)
        .map(timing -> new LeftoverRow(leftover, timing, framing, next, "POST"));
  }

  static Stream<LeftoverRow> nextResponses() {
    return Leftover.combined()
        .flatMap(
            leftover ->
                Arrays.stream(NextResponse.values())
                    .flatMap(next -> rows(leftover, ResponseFraming.CONTENT_LENGTH, next)))
        // The usual rows are part of the other groups.
        .filter(row -> row.next() != NextResponse.INTERNAL_ERROR || row.method().equals("GET"));
  }

  /** Without further bytes, each response arrives as the instance gave it. */
  @ParameterizedTest
  @MethodSource("controls")
  void responsesArriveUnchanged(LeftoverRow row) throws Exception {
    assertNoFault(row);
  }

  /** A second copy of a response may end at any byte, such as within its status line. */
  @ParameterizedTest
  @MethodSource("cutCopies")
  void cutCopyDoesNotChangeNextResponse(LeftoverRow row) throws Exception {
    assertNoFault(row);
  }

  @ParameterizedTest
  @MethodSource("otherBytes")
  void otherBytesDoNotChangeNextResponse(LeftoverRow row) throws Exception {
    assertNoFault(row);
  }

  @ParameterizedTest
  @MethodSource("framings")
  void bytesAfterAnyFramingDoNotChangeNextResponse(LeftoverRow row) throws Exception {
    assertNoFault(row);
  }

  @ParameterizedTest
  @MethodSource("nextResponses")
  void bytesChangeNoStatusOfNextResponse(LeftoverRow row) throws Exception {
    assertNoFault(row);
  }

  private void assertNoFault(LeftoverRow row) throws Exception {
    assertEquals("", Objects.requireNonNull(results.get(row.toString())).get());
  }

  /** Checks a row; returns what is wrong, or an empty text. */
  @FunctionalInterface
  private interface RowCheck {
    String check(LeftoverRow row, LeftoverInstance instance) throws Exception;
  }

  private String run(LeftoverRow row, RowCheck check) throws Exception {
    LeftoverInstance responder = new LeftoverInstance(row, nextRequestId(), nextRequestId());
    String name = "instance-of-" + responder.next().requestId();
    try (RawInstance instance = new RawInstance(responder)) {
      fleet.store().put("servers/" + name, instance.storeEntry("service-" + service.get(), 3));
      awaitKnown(name, true);
      String fault = check.check(row, responder);
      return fault.isEmpty() ? "" : responder + ": " + fault;
    } finally {
      responder.end();
      fleet.store().remove("servers/" + name);
      awaitKnown(name, false);
    }
  }

  private void awaitKnown(String name, boolean expected) {
    Conditions.await(
        name + " is known: " + expected,
        () -> fleet.getFromOperator(fleet.vm(0), "/v1/instances").body().contains(name) == expected,
        fleet.vm(0)::log);
  }

  private String nextRequestId() {
    return "%08x%08x".formatted(runId, requestCount.incrementAndGet());
  }

  private String findChange(LeftoverRow row, LeftoverInstance instance)
      throws IOException, InterruptedException {
    List<String> faults = new ArrayList<>();
    RawResponse previous = sendPrevious(row, instance);
    checkWhole(instance.previous(), previous, row.framing().hasBody(), faults);
    RawResponse next = send(row.method(), instance.next().requestId());
    if (row.next() == NextResponse.UNAVAILABLE) {
      checkStatus(Set.of(502), instance.next(), next, faults);
    } else {
      checkWhole(instance.next(), next, true, faults);
    }
    if (row.framing() != ResponseFraming.UNTIL_CLOSE && !instance.isConnectionReused()) {
      faults.add("the connection was not reused");
    }
    return String.join("; ", faults);
  }

  private String findFault(LeftoverRow row, LeftoverInstance instance)
      throws IOException, InterruptedException {
    List<String> faults = new ArrayList<>();
    RawResponse previous = sendPrevious(row, instance);
    checkTruthful(instance.previous(), previous, row.framing().hasBody(), faults);
    RawResponse next = send(row.method(), instance.next().requestId());
    checkTruthful(instance.next(), next, true, faults);
    if (row.method().equals("POST") && instance.nextRuns() > 1) {
      faults.add("the unsafe request ran " + instance.nextRuns() + " times");
    }
    return String.join("; ", faults);
  }

  private RawResponse sendPrevious(LeftoverRow row, LeftoverInstance instance)
      throws IOException, InterruptedException {
    RawResponse response = send(row.framing().method(), instance.previous().requestId());
    instance.awaitPreviousWritten();
    return response;
  }

  /** Sends a request on a connection of its own, on which nothing may follow the response. */
  private RawResponse send(String method, String id) throws IOException {
    boolean isUnsafe = method.equals("POST");
    String body = isUnsafe ? "a booking" : "";
    String target = (isUnsafe ? "/unsafe-" : "/safe-") + service.get() + "/" + id;
    try (CallerConnection connection =
        new CallerConnection(fleet.vm(0).callerPort(), READ_TIMEOUT_MILLIS)) {
      connection.write(
          method
              + " "
              + target
              + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nX-Deadline-Ms: 30000\r\n"
              + "X-Request-Id: "
              + id
              + "\r\nAuthorization: Token "
              + PlatformFleet.KEY
              + "\r\n"
              + (isUnsafe ? InstanceResponse.lengthField(body) : "")
              + "\r\n"
              + body);
      RawResponse response = connection.readResponse();
      try {
        RawResponse second = connection.readResponse();
        throw new AssertionError("after " + response + " came " + second);
      } catch (EOFException noFurtherResponse) {
        return response;
      }
    }
  }

  /** Adds a fault if the caller got anything but the whole response of the instance. */
  private static void checkWhole(
      InstanceResponse sent, RawResponse received, boolean hasBody, List<String> faults) {
    boolean isWhole =
        received.status() == sent.status()
            && hasOnce(received, "X-Response-Signature", sent.signature())
            && hasOnce(received, "X-Request-Id", sent.requestId())
            && (received.isComplete() || !hasBody)
            && received.bodyText().equals(hasBody ? sent.body() : "");
    if (!isWhole) {
      faults.add("sent " + sent + ", received " + received);
    }
  }

  private static boolean hasOnce(RawResponse received, String name, String value) {
    String prefix = name + ":";
    long count =
        received.headers().stream()
            .filter(line -> line.regionMatches(true, 0, prefix, 0, prefix.length()))
            .count();
    return count == 1 && received.header(name).equals(value);
  }

  private static void checkStatus(
      Set<Integer> expected, InstanceResponse sent, RawResponse received, List<String> faults) {
    if (!expected.contains(received.status())) {
      faults.add("sent " + sent + ", received " + received);
    }
  }

  /**
   * Adds a fault if the caller got a success or a signed failure that is not the whole response of
   * the instance, or a failure of the VM that states that the request has not run.
   */
  private static void checkTruthful(
      InstanceResponse sent, RawResponse received, boolean hasBody, List<String> faults) {
    boolean isSigned = !received.header("X-Response-Signature").isEmpty();
    if (received.status() < 300 || isSigned) {
      checkWhole(sent, received, hasBody, faults);
    } else {
      checkStatus(OWN_FAILURES, sent, received, faults);
    }
  }
}
