package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.verification.process.CallerConnection;
import org.kumquatvane.verification.process.Conditions;
import org.kumquatvane.verification.process.RawResponse;

/**
 * Guards against responses that are mixed up, doubled or framed wrongly on the kept connection of a
 * caller, and against bytes of a refused body that are taken for a request.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CallerFramingProcessTest {
  private static final int DEADLINE_MILLIS = 2_000;
  private static final int READ_TIMEOUT_MILLIS = 20_000;
  private static final int RESPONSE_BYTES = 700;
  private static final int BODY_BYTES = 300;
  private static final int REQUESTS = 6;
  private static final long SILENCE_MILLIS = 200;

  private PlatformFleet fleet;
  private SigningInstance instance;

  /** When a caller sends the parts of several requests. */
  enum Timing {
    ALL_AT_ONCE(Integer.MAX_VALUE, 0),
    IN_PIECES(57, 1),
    IN_LARGE_PIECES(501, 4);

    private final int pieceLength;
    private final long pauseMillis;

    Timing(int pieceLength, long pauseMillis) {
      this.pieceLength = pieceLength;
      this.pauseMillis = pauseMillis;
    }
  }

  private static void write(CallerConnection connection, String text, Timing timing)
      throws IOException, InterruptedException {
    for (int from = 0; from < text.length(); ) {
      int end = (int) Math.min(text.length(), (long) from + timing.pieceLength);
      connection.write(text.substring(from, end));
      from = end;
      Thread.sleep(timing.pauseMillis);
    }
  }

  @BeforeAll
  void start() throws IOException {
    fleet = new PlatformFleet(1, 1);
    instance = new SigningInstance(CallerFramingProcessTest::respond);
    fleet.store().put("servers/signing", instance.storeEntry("faulty", 16));
    Conditions.await(
        "the instance is known",
        () -> fleet.getFromOperator(fleet.vm(0), "/v1/instances").body().contains("signing"),
        fleet.vm(0)::log);
  }

  @AfterAll
  void stop() throws IOException {
    fleet.close();
    instance.close();
  }

  private static void respond(SigningInstance.Request request, OutputStream output)
      throws IOException, InterruptedException {
    request.readBody();
    request.countRun();
    Thread.sleep(request.parameter("delay"));
    int status = request.parameter("status");
    boolean hasBody = !request.method().equals("HEAD") && status != 204 && status != 304;
    String response = SigningInstance.response(request.id(), status, RESPONSE_BYTES, "");
    if (status == 204) {
      response = response.replace("Content-Length: " + RESPONSE_BYTES + "\r\n", "");
    }
    int headEnd = response.indexOf("\r\n\r\n") + "\r\n\r\n".length();
    RawInstance.write(output, hasBody ? response : response.substring(0, headEnd));
  }

  private CallerConnection connect() throws IOException {
    return new CallerConnection(fleet.vm(0).callerPort(), READ_TIMEOUT_MILLIS);
  }

  /** Several requests sent ahead of their responses, whole or in pieces, slow or fast. */
  @ParameterizedTest
  @EnumSource(Timing.class)
  void pipelinedRequestsGetTheirOwnResponses(Timing timing) throws Exception {
    for (int delayMillis : new int[] {0, 3, 60}) {
      List<String> ids = new ArrayList<>();
      StringBuilder requests = new StringBuilder();
      for (int i = 0; i < REQUESTS; i++) {
        String id = UUID.randomUUID().toString();
        ids.add(id);
        boolean isUnsafe = i % 2 == 1;
        requests.append(
            CheckedCaller.request(
                id,
                isUnsafe ? "POST" : "GET",
                (isUnsafe ? "/faulty-bookings/1" : "/faulty/1")
                    + "?status=200&delay="
                    + delayMillis,
                DEADLINE_MILLIS,
                isUnsafe ? BODY_BYTES : 0));
      }
      try (CallerConnection connection = connect()) {
        write(connection, requests.toString(), timing);
        for (String id : ids) {
          checkSuccess(id, connection.readResponse());
        }
        Thread.sleep(SILENCE_MILLIS);
        assertEquals(0, connection.availableBytes(), "bytes after the last response");
      }
      ids.forEach(id -> assertEquals(1, instance.countRuns(id), "runs of " + id));
    }
    assertEquals(List.of(), instance.faults());
  }

  private static void checkSuccess(String id, RawResponse response) {
    assertEquals(200, response.status(), response::toString);
    assertEquals(id, response.header("X-Request-Id"));
    assertEquals(
        SigningInstance.signature(id, 200, RESPONSE_BYTES),
        response.header("X-Response-Signature"));
    assertEquals(SigningInstance.responseBody(id, 200, RESPONSE_BYTES), response.bodyText());
  }

  /**
   * Responses without a body: what follows the head must be the head of the next response, although
   * the head may name a length.
   */
  @ParameterizedTest
  @CsvSource({"HEAD, 200", "HEAD, 404", "HEAD, 500", "GET, 204", "GET, 304", "HEAD, 304"})
  void nothingFollowsHeadOfResponseWithoutBody(String method, int status) throws Exception {
    try (CallerConnection connection = connect()) {
      for (int i = 0; i < REQUESTS; i++) {
        String first = UUID.randomUUID().toString();
        connection.write(
            CheckedCaller.request(first, method, "/faulty/1?status=" + status, DEADLINE_MILLIS, 0));
        RawResponse response = connection.readHead();
        assertEquals(status, response.status(), response::toString);
        assertEquals(first, response.header("X-Request-Id"));
        String second = UUID.randomUUID().toString();
        connection.write(
            CheckedCaller.request(second, "GET", "/faulty/1?status=200", DEADLINE_MILLIS, 0));
        checkSuccess(second, connection.readResponse());
      }
    }
  }

  /**
   * A body that is refused before it is read contains a request. It must not run, and no response
   * to it may follow the refusal.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /faulty-bookings/1|X-Deadline-Ms: 2000|Token key-of-alpha|150000|true",
        "POST /faulty-bookings/1|X-Deadline-Ms: 2000|Token unknown|2000|false",
        "POST /faulty-bookings/1|X-Deadline-Ms: 2000|Token unknown|90000|true",
        "POST /nowhere/1|X-Deadline-Ms: 2000|Token key-of-alpha|2000|true",
        "POST /faulty-bookings/1|X-Deadline-Ms: bad|Token key-of-alpha|2000|false",
        "POST /faulty-bookings/1|X-Deadline-Ms: bad|Token key-of-alpha|2000|true"
      })
  void refusedBodyIsNotTakenForRequest(String refused) throws Exception {
    String[] parts = refused.split("\\|", -1);
    int length = Integer.parseInt(parts[3]);
    boolean isAtOnce = Boolean.parseBoolean(parts[4]);
    String hidden = UUID.randomUUID().toString();
    String inner =
        CheckedCaller.request(hidden, "POST", "/faulty-bookings/1?status=200", DEADLINE_MILLIS, 0);
    StringBuilder body = new StringBuilder();
    while (body.length() + inner.length() <= length) {
      body.append(inner);
    }
    body.append(" ".repeat(length - body.length()));
    String id = UUID.randomUUID().toString();
    try (CallerConnection connection = connect()) {
      connection.write(
          parts[0]
              + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: "
              + id
              + "\r\n"
              + parts[1]
              + "\r\nAuthorization: "
              + parts[2]
              + "\r\nContent-Length: "
              + length
              + "\r\n\r\n"
              + (isAtOnce ? body : ""));
      RawResponse response = connection.readResponse();
      assertTrue(response.status() >= 400 && response.status() < 500, response::toString);
      assertEquals(id, response.header("X-Request-Id"));
      if (!isAtOnce) {
        connection.write(body.toString());
      }
      Thread.sleep(SILENCE_MILLIS);
      assertEquals(0, connection.availableBytes(), "bytes after the refusal");
    } catch (IOException closed) {
      // A closed connection promises nothing.
    }
    assertEquals(0, instance.countRuns(hidden), "a part of a refused body has run");
    assertEquals(0, instance.countRuns(id), "a refused request has run");
  }

  /** The interim response to Expect belongs to its request; the final one follows, once. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void expectedContinueIsFollowedByOneResponse(boolean waitsForInterim) throws Exception {
    try (CallerConnection connection = connect()) {
      for (int i = 0; i < REQUESTS; i++) {
        String id = UUID.randomUUID().toString();
        String request =
            CheckedCaller.request(
                id, "POST", "/faulty-bookings/1?status=200", DEADLINE_MILLIS, BODY_BYTES);
        int headEnd = request.indexOf("\r\n\r\n");
        connection.write(request.substring(0, headEnd) + "\r\nExpect: 100-continue\r\n\r\n");
        String body = request.substring(headEnd + "\r\n\r\n".length());
        if (!waitsForInterim) {
          connection.write(body);
        }
        RawResponse response = connection.readResponse();
        if (response.status() == 100) {
          if (waitsForInterim) {
            connection.write(body);
          }
          response = connection.readResponse();
        }
        checkSuccess(id, response);
        assertEquals(1, instance.countRuns(id));
      }
      Thread.sleep(SILENCE_MILLIS);
      assertEquals(0, connection.availableBytes());
    }
  }

  /** Callers of HTTP/1.0 can't read chunks, so they get a refusal that ends with the connection. */
  @ParameterizedTest
  @ValueSource(strings = {"", "Connection: keep-alive\r\n"})
  void oldCallersGetNoSuccessInChunks(String fields) throws Exception {
    String id = UUID.randomUUID().toString();
    try (CallerConnection connection = connect()) {
      connection.write(
          "GET /faulty/1?status=200 HTTP/1.0\r\nHost: 127.0.0.1\r\nX-Request-Id: "
              + id
              + "\r\nAuthorization: Token key-of-alpha\r\n"
              + fields
              + "\r\n");
      RawResponse response = connection.readResponse();
      assertEquals(400, response.status(), response::toString);
      assertEquals("", response.header("Transfer-Encoding"));
    }
    assertEquals(0, instance.countRuns(id));
  }
}
