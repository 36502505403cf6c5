package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.kumquatvane.verification.process.CallerConnection;
import org.kumquatvane.verification.process.Conditions;
import org.kumquatvane.verification.process.RawResponse;

/**
 * Guards against bytes after a complete response that become part of the next response on the
 * connection: the caller of the next request would get a status that its instance did not give.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class LeftoverBytesProcessTest {
  private static final int READ_TIMEOUT_MILLIS = 10_000;

  /** Ends a response for which a VM would otherwise wait until the deadline. */
  private static final long CLOSE_DELAY_MILLIS = 300;

  /** A new instance has no failures yet; the VM learns of it after some hundred milliseconds. */
  private static final int ROWS_PER_INSTANCE = 10;

  /** Statuses of a VM that leave open whether the request has run. */
  private static final Set<Integer> OWN_FAILURES = Set.of(502, 504);

  private PlatformFleet fleet;
  private Optional<RawInstance> instance = Optional.empty();
  private int instanceCount;
  private int rowsOfInstance;
  private int requestCount;

  /** The response of the instance to the next request. */
  enum NextResponse {
    INTERNAL_ERROR(500, "Internal Server Error"),
    GATEWAY_TIMEOUT(504, "Gateway Timeout"),
    /** Does not state that the request has not run, so a VM does not pass this status on. */
    UNAVAILABLE(503, "Service Unavailable"),
    SUCCESS(200, "OK");

    private final int status;
    private final String reason;

    NextResponse(int status, String reason) {
      this.status = status;
      this.reason = reason;
    }

    InstanceResponse response(String id) {
      return new InstanceResponse(status, reason, id, "", "other body of " + id);
    }
  }

  /**
   * One case.
   *
   * @param leftover bytes that belong to no request
   * @param timing when they are sent
   * @param framing the response before them
   * @param next the response after them
   * @param method method of the request of that response
   */
  record Row(
      Leftover leftover,
      LeftoverTiming timing,
      ResponseFraming framing,
      NextResponse next,
      String method) {
    static Row withLength(Leftover leftover, LeftoverTiming timing) {
      return new Row(
          leftover, timing, ResponseFraming.CONTENT_LENGTH, NextResponse.INTERNAL_ERROR, "POST");
    }
  }

  /** Sends the responses of a row and records on which connections the requests arrive. */
  private static final class RowInstance implements RawInstance.Responder {
    private static final String BODY_AFTER_REFUSAL = "body after the refusal";

    private final Row row;
    private final InstanceResponse previous;
    private final InstanceResponse next;
    private final String leftover;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final List<OutputStream> previousArrivals = new CopyOnWriteArrayList<>();
    private final List<OutputStream> nextArrivals = new CopyOnWriteArrayList<>();

    RowInstance(Row row, String previousId, String nextId) {
      this.row = row;
      previous = row.framing().response(previousId);
      next = row.next().response(nextId);
      leftover = row.leftover().bytes().of(previous, row.framing().encode(previous), nextId);
    }

    @Override
    public void respond(String id, OutputStream output) throws IOException, InterruptedException {
      if (id.equals(previous.requestId())) {
        previousArrivals.add(output);
        respondToPrevious(output);
      } else {
        nextArrivals.add(output);
        respondToNext(output);
      }
    }

    private void respondToPrevious(OutputStream output) throws IOException, InterruptedException {
      if (previousArrivals.size() > 1) {
        // Leaves the first connection as the only one for the next request.
        RawInstance.write(
            output,
            lastPrevious()
                    .head(
                        "Connection: close\r\n" + InstanceResponse.lengthField(BODY_AFTER_REFUSAL))
                + BODY_AFTER_REFUSAL);
        return;
      }
      row.timing().writePrevious(output, row.framing().encode(previous), leftover);
      if (row.framing() == ResponseFraming.UNTIL_CLOSE) {
        throw new IOException("end of the response");
      }
    }

    private void respondToNext(OutputStream output) throws IOException, InterruptedException {
      if (!output.equals(previousArrivals.get(0))) {
        RawInstance.write(output, next.withLength());
        return;
      }
      row.timing().writeNext(output, leftover, next.withLength());
      if (!leftover.isEmpty()) {
        if (!ended.await(CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS)) {
          throw new IOException("end of the connection");
        }
      }
    }

    /** Returns the response to the last arrival of the previous request. */
    InstanceResponse lastPrevious() {
      return previousArrivals.size() > 1
          ? new InstanceResponse(200, "OK", previous.requestId(), "", BODY_AFTER_REFUSAL)
          : previous;
    }

    boolean isConnectionReused() {
      return !nextArrivals.isEmpty() && nextArrivals.get(0).equals(previousArrivals.get(0));
    }

    String describeLeftover() {
      String bytes = leftover.length() > 300 ? leftover.substring(0, 300) + "..." : leftover;
      return "leftover \""
          + bytes.replace("\r", "\\r").replace("\n", "\\n").replace("\0", "\\0")
          + "\", next request on the same connection: "
          + isConnectionReused();
    }
  }

  @BeforeAll
  void startFleet() throws IOException {
    fleet = new PlatformFleet(1, 1);
  }

  @AfterAll
  void stopFleet() throws IOException {
    fleet.close();
    if (instance.isPresent()) {
      instance.get().close();
    }
  }

  /** Closes all connections, so that no bytes of a row can reach the next one. */
  @AfterEach
  void endConnections() throws IOException {
    RawInstance current = instance.orElseThrow();
    rowsOfInstance++;
    current.endConnections();
    Conditions.await(
        "the VM closes its connections", () -> current.openConnections() == 0, fleet.vm(0)::log);
    if (rowsOfInstance == ROWS_PER_INSTANCE) {
      stopInstance();
    }
  }

  private void stopInstance() throws IOException {
    fleet.store().remove("servers/" + instanceName());
    instance.orElseThrow().close();
    instance = Optional.empty();
  }

  private String instanceName() {
    return "raw-%04d".formatted(instanceCount);
  }

  private void useInstance(RowInstance responder) {
    if (instance.isPresent()) {
      instance.get().setResponder(responder);
      return;
    }
    String earlier = instanceName();
    instanceCount++;
    rowsOfInstance = 0;
    RawInstance started = new RawInstance(responder);
    instance = Optional.of(started);
    fleet.store().put("servers/" + instanceName(), started.storeEntry("faulty", 3));
    Conditions.await(
        "only the new instance is known",
        () -> {
          String known = fleet.getFromOperator(fleet.vm(0), "/v1/instances").body();
          return known.contains(instanceName()) && !known.contains(earlier);
        },
        fleet.vm(0)::log);
  }

  private String nextRequestId() {
    requestCount++;
    return "%016x".formatted(requestCount);
  }

  static Stream<Row> controls() {
    return Stream.concat(
        Arrays.stream(ResponseFraming.values())
            .flatMap(framing -> rows(Leftover.NOTHING, framing, NextResponse.INTERNAL_ERROR)),
        Arrays.stream(NextResponse.values())
            .flatMap(next -> rows(Leftover.NOTHING, ResponseFraming.CONTENT_LENGTH, next)));
  }

  private static Stream<Row> rows(Leftover leftover, ResponseFraming framing, NextResponse next) {
    return Stream.of("POST", "GET")
        .map(
            method ->
                new Row(leftover, LeftoverTiming.WITH_PREVIOUS_RESPONSE, framing, next, method));
  }

  static Stream<Row> cutCopies() {
    return Stream.concat(Leftover.cutCopies(), Leftover.cutCopiesWithLastId())
        .flatMap(
            leftover ->
                Stream.of(
                    Row.withLength(leftover, LeftoverTiming.WITH_PREVIOUS_RESPONSE),
                    Row.withLength(leftover, LeftoverTiming.WITH_NEXT_RESPONSE)));
  }

  static Stream<Row> otherBytes() {
    Stream<Row> always =
        Leftover.others()
            .flatMap(
                leftover ->
                    Arrays.stream(LeftoverTiming.values())
                        .map(timing -> Row.withLength(leftover, timing)));
    Stream<Row> withBothIds =
        Leftover.withBothIds()
            .flatMap(
                leftover ->
                    Stream.of(
                            LeftoverTiming.WITH_NEXT_RESPONSE, LeftoverTiming.BEFORE_NEXT_RESPONSE)
                        .map(timing -> Row.withLength(leftover, timing)));
    return Stream.concat(always, withBothIds);
  }

  static Stream<Row> framings() {
    return EnumSet.complementOf(
            EnumSet.of(ResponseFraming.CONTENT_LENGTH, ResponseFraming.UNTIL_CLOSE))
        .stream()
        .flatMap(
            framing ->
                Leftover.combined().stream()
                    .flatMap(
                        leftover ->
                            Stream.of(
                                    LeftoverTiming.WITH_PREVIOUS_RESPONSE,
                                    LeftoverTiming.WITH_NEXT_RESPONSE)
                                .map(
                                    timing ->
                                        new Row(
                                            leftover,
                                            timing,
                                            framing,
                                            nextAfter(framing),
                                            "POST"))));
  }

  /** Chooses a status that the previous response does not have. */
  private static NextResponse nextAfter(ResponseFraming framing) {
    return framing == ResponseFraming.FAILURE ? NextResponse.SUCCESS : NextResponse.INTERNAL_ERROR;
  }

  static Stream<Row> nextResponses() {
    return Leftover.combined().stream()
        .flatMap(
            leftover ->
                Arrays.stream(NextResponse.values())
                    .flatMap(next -> rows(leftover, ResponseFraming.CONTENT_LENGTH, next)));
  }

  /** Without further bytes, each response arrives as the instance gave it. */
  @ParameterizedTest
  @MethodSource("controls")
  void responsesArriveUnchanged(Row row) throws Exception {
    RowInstance responder = new RowInstance(row, nextRequestId(), nextRequestId());
    useInstance(responder);
    List<String> faults = new ArrayList<>();
    checkWhole(responder, callPrevious(responder), responder.lastPrevious(), faults);
    RawResponse next = call(row.method(), responder.next.requestId());
    responder.ended.countDown();
    if (row.next() == NextResponse.UNAVAILABLE) {
      assertEquals(502, next.status(), next::toString);
    } else {
      checkWhole(responder, next, responder.next, faults);
    }
    if (row.framing() != ResponseFraming.UNTIL_CLOSE && !responder.isConnectionReused()) {
      faults.add("the connection was not reused");
    }
    assertEquals(List.of(), faults, responder::describeLeftover);
  }

  /** A second copy of a response may end at any byte, such as within its status line. */
  @ParameterizedTest
  @MethodSource("cutCopies")
  void cutCopyDoesNotChangeNextResponse(Row row) throws Exception {
    checkRow(row);
  }

  @ParameterizedTest
  @MethodSource("otherBytes")
  void otherBytesDoNotChangeNextResponse(Row row) throws Exception {
    checkRow(row);
  }

  @ParameterizedTest
  @MethodSource("framings")
  void bytesAfterAnyFramingDoNotChangeNextResponse(Row row) throws Exception {
    checkRow(row);
  }

  @ParameterizedTest
  @MethodSource("nextResponses")
  void bytesChangeNoStatusOfNextResponse(Row row) throws Exception {
    checkRow(row);
  }

  private void checkRow(Row row) throws Exception {
    RowInstance responder = new RowInstance(row, nextRequestId(), nextRequestId());
    useInstance(responder);
    List<String> faults = new ArrayList<>();
    checkTruthful(responder, callPrevious(responder), responder.lastPrevious(), faults);
    RawResponse next = call(row.method(), responder.next.requestId());
    responder.ended.countDown();
    checkTruthful(responder, next, responder.next, faults);
    if (row.method().equals("POST") && responder.nextArrivals.size() > 1) {
      faults.add("the unsafe request ran " + responder.nextArrivals.size() + " times");
    }
    assertEquals(List.of(), faults, responder::describeLeftover);
  }

  private RawResponse callPrevious(RowInstance responder) throws IOException {
    String id = responder.previous.requestId();
    return call(responder.row.framing() == ResponseFraming.HEAD_REQUEST ? "HEAD" : "POST", id);
  }

  /** Sends a request on a connection of its own, on which nothing may follow the response. */
  private RawResponse call(String method, String id) throws IOException {
    boolean isUnsafe = method.equals("POST");
    String body = isUnsafe ? "a booking" : "";
    try (CallerConnection connection =
        new CallerConnection(fleet.vm(0).callerPort(), READ_TIMEOUT_MILLIS)) {
      connection.write(
          method
              + (isUnsafe ? " /faulty-bookings/" : " /faulty/")
              + id
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

  /** Adds a fault if the caller got anything but the response of the instance. */
  private static void checkWhole(
      RowInstance responder, RawResponse received, InstanceResponse sent, List<String> faults) {
    boolean isHead =
        responder.row.framing() == ResponseFraming.HEAD_REQUEST
            && sent.requestId().equals(responder.previous.requestId());
    boolean isWhole =
        received.status() == sent.status()
            && hasOnly(received, "X-Response-Signature", sent.signature())
            && hasOnly(received, "X-Request-Id", sent.requestId())
            && (isHead || received.isComplete())
            && received.bodyText().equals(isHead ? "" : sent.body());
    if (!isWhole) {
      faults.add("instance gave " + sent + ", caller got " + received);
    }
  }

  private static boolean hasOnly(RawResponse received, String name, String value) {
    long count =
        received.headers().stream()
            .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
            .count();
    return count == 1 && received.header(name).equals(value);
  }

  /**
   * Adds a fault if the caller got a success that is not the whole response of the instance, an
   * instance's failure with another status, or a statement that the request has not run.
   */
  private static void checkTruthful(
      RowInstance responder, RawResponse received, InstanceResponse sent, List<String> faults) {
    boolean isSigned = !received.header("X-Response-Signature").isEmpty();
    if (received.status() < 300 || isSigned) {
      checkWhole(responder, received, sent, faults);
    } else if (!OWN_FAILURES.contains(received.status())) {
      faults.add("instance gave " + sent + ", caller got " + received);
    }
  }
}
