package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against a request that is written where an instance expects the rest of an earlier one,
 * which it has answered before it read the body, and against answers that get mixed up then.
 */
class EarlyAnswerProcessTest {
  /** More than the socket buffers of both sides hold, so that the body is not written at once. */
  private static final int BODY_BYTES = 9_000_000;

  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final int DEADLINE_MILLIS = 2_000;
  private static final int RESPONSE_BYTES = 900;
  private static final int LEAVE_AFTER_MILLIS = 300;
  private static final int ROUNDS = 3;
  private static final int GATEWAY_TIMEOUT = 504;

  private PlatformFleet fleet;
  private SigningInstance instance;

  @BeforeEach
  void start() throws IOException {
    fleet = new PlatformFleet(1, 1);
    fleet.publish(List.of(PlatformFleet.KEY), "/bookings/", 2 * BODY_BYTES);
    instance = new SigningInstance(EarlyAnswerProcessTest::respond, RECEIVE_BUFFER_BYTES);
    fleet.store().put("servers/signing", instance.storeEntry("faulty", 4));
    Conditions.await(
        "the instance is known",
        () -> fleet.getFromOperator(fleet.vm(0), "/v1/instances").body().contains("signing"),
        fleet.vm(0)::log);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    instance.close();
  }

  /** Answers at once; reads the body after the wait, or ends the connection instead. */
  private static void respond(SigningInstance.Request request, OutputStream output)
      throws IOException, InterruptedException {
    if (request.parameter("reads") == 1) {
      request.readBody();
    }
    int status = request.parameter("status");
    if (status != 503) {
      request.countRun();
    }
    RawInstance.write(
        output,
        SigningInstance.response(
            request.id(),
            status,
            Math.max(RESPONSE_BYTES, request.parameter("length")),
            status == 503 ? "X-Not-Executed: 1\r\n" : ""));
    Thread.sleep(request.parameter("wait"));
    if (request.parameter("ends") == 1) {
      throw new IOException("end of the connection");
    }
    request.readBody();
  }

  @ParameterizedTest
  @CsvSource({
    "PUT, /faulty/1, 200, 300, 0, 9000000",
    "POST, /faulty-bookings/1, 200, 300, 0, 9000000",
    "POST, /faulty-bookings/1, 200, 3000, 0, 9000000",
    "POST, /faulty-bookings/1, 500, 300, 0, 9000000",
    "POST, /faulty-bookings/1, 503, 300, 0, 9000000",
    "POST, /faulty-bookings/1, 200, 300, 1, 9000000",
    "POST, /faulty-bookings/1, 200, 300, 0, 90000",
    "POST, /faulty-bookings/1, 500, 300, 0, 90000",
    "POST, /faulty-bookings/1, 503, 300, 0, 90000",
    "POST, /faulty-bookings/1, 200, 300, 1, 90000"
  })
  void bytesAfterAnEarlyAnswerAreTheRestOfTheBody(
      String method, String target, int status, int waitMillis, int ends, int bodyLength)
      throws Exception {
    String query = "?status=%d&wait=%d&ends=%d".formatted(status, waitMillis, ends);
    try (CheckedCaller early = new CheckedCaller(fleet.vm(0).callerPort());
        CheckedCaller next = new CheckedCaller(fleet.vm(0).callerPort())) {
      for (int i = 0; i < ROUNDS; i++) {
        sendAndReceive(early, method, target + query, bodyLength);
        // These come while the instance has read nothing of the body.
        sendAndReceive(next, method, target + "?status=200", 500);
        sendAndReceive(next, method, target + "?status=200", 0);
      }
      early.checkSilence(waitMillis);
      next.checkSilence(waitMillis);
      assertEquals(List.of(), early.faults());
      assertEquals(List.of(), next.faults());
      assertEquals(List.of(), instance.faults());
      Set<String> sent =
          Stream.of(early, next)
              .flatMap(caller -> caller.sentIds().stream())
              .collect(Collectors.toSet());
      assertTrue(sent.containsAll(instance.ranIds()), "the instance ran what nobody sent");
      if (method.equals("POST")) {
        sent.forEach(id -> assertTrue(instance.countRuns(id) <= 1, "request " + id + " ran twice"));
        early
            .refusedIds()
            .forEach(id -> assertEquals(0, instance.countRuns(id), "refused " + id + " ran"));
      }
    }
    assertTrue(fleet.vm(0).process().isAlive(), fleet.vm(0)::log);
  }

  /**
   * A body that is still on its way when the time of its request ends gets a response. The end of
   * the attempt closed the connection of the caller instead.
   */
  @ParameterizedTest
  @CsvSource({"300000, 1000", "600000, 200000", "2000000, 100"})
  void uploadPastTheDeadlineIsAnswered(int bodyLength, int missingLength) throws Exception {
    try (CheckedCaller caller = new CheckedCaller(fleet.vm(0).callerPort())) {
      String id =
          caller.sendWithoutEnd(
              "POST",
              "/faulty-bookings/1?status=200&reads=1",
              DEADLINE_MILLIS,
              bodyLength,
              missingLength);
      assertEquals(GATEWAY_TIMEOUT, caller.receive(id).status());
      assertEquals(List.of(), caller.faults());
      assertEquals(0, instance.countRuns(id));
    }
  }

  /**
   * The caller of an early answer breaks its body off, or stops sending: the connection to the
   * instance must not carry another request where the rest of the body is due.
   */
  @ParameterizedTest
  @CsvSource({
    "PUT, /faulty/1, 200, 0, true",
    "POST, /faulty-bookings/1, 200, 0, true",
    "POST, /faulty-bookings/1, 200, 300000, true",
    "POST, /faulty-bookings/1, 500, 0, true",
    "POST, /faulty-bookings/1, 503, 0, true",
    "POST, /faulty-bookings/1, 200, 0, false",
    "POST, /faulty-bookings/1, 200, 300000, false",
    "POST, /faulty-bookings/1, 503, 0, false"
  })
  void bodyWithoutEndIsNotContinuedByTheNextRequest(
      String method, String target, int status, int responseLength, boolean callerLeaves)
      throws Exception {
    String query = "?status=%d&wait=0&length=%d".formatted(status, responseLength);
    try (CheckedCaller early = new CheckedCaller(fleet.vm(0).callerPort());
        CheckedCaller next = new CheckedCaller(fleet.vm(0).callerPort())) {
      for (int i = 0; i < ROUNDS; i++) {
        String id =
            early.sendWithoutEnd(
                method, target + query, DEADLINE_MILLIS, BODY_BYTES, BODY_BYTES / 2);
        if (callerLeaves) {
          Thread.sleep(LEAVE_AFTER_MILLIS);
          early.leave();
        } else {
          receiveIgnoringEnd(early, id);
        }
        sendAndReceive(next, method, target + "?status=200", 500);
        sendAndReceive(next, method, target + "?status=200", 0);
        early.reset();
      }
      next.checkSilence(DEADLINE_MILLIS);
      assertEquals(List.of(), early.faults());
      assertEquals(List.of(), next.faults());
      assertEquals(List.of(), instance.faults());
      next.sentIds().forEach(id -> assertTrue(instance.countRuns(id) <= 1, id + " ran twice"));
    }
  }

  private static void sendAndReceive(
      CheckedCaller caller, String method, String target, int bodyLength) throws IOException {
    String id;
    try {
      id = caller.send(method, target, DEADLINE_MILLIS, bodyLength);
    } catch (IOException ended) {
      // The VM closed the connection before it had the whole body, which promises nothing.
      caller.reset();
      return;
    }
    receiveIgnoringEnd(caller, id);
  }

  private static void receiveIgnoringEnd(CheckedCaller caller, String id) throws IOException {
    try {
      caller.receive(id);
    } catch (IOException ended) {
      // Promises nothing; the next request opens a connection.
      caller.reset();
    }
  }
}
