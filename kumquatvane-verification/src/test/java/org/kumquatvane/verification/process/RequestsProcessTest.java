package org.kumquatvane.verification.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.standins.BackendParameter;
import org.kumquatvane.standins.ReceivedRequest;
import org.kumquatvane.standins.ReceivedRequest.Outcome;

/**
 * Checks invariants 2, 3 and 6: each request has the workspace of its key, no server receives a
 * key, and callers receive complete responses to their own requests.
 */
class RequestsProcessTest {
  private static final Fleet FLEET = new Fleet(1, 1);
  private static final String KEY = FLEET.key("alpha");

  @BeforeAll
  static void start() throws IOException {
    FLEET.start();
  }

  @AfterAll
  static void stop() {
    FLEET.close();
  }

  @BeforeEach
  void resetBehaviour() {
    FLEET.backend(0).set(BackendParameter.TRUNCATE_SHARE, 0);
    FLEET.backend(0).set(BackendParameter.CROSS_SHARE, 0);
    FLEET.backend(0).set(BackendParameter.SHED_SHARE, 0);
    FLEET.backend(0).set(BackendParameter.ECHO_REQUEST_ID, 1);
  }

  /** Guards against truncated or interchanged responses on one connection. */
  @ParameterizedTest
  @ValueSource(ints = {1, 70_000, 5_000_000})
  void responsesAreComplete(int bytes) throws Exception {
    try (CallerConnection caller = connect()) {
      for (int i = 0; i < 5; i++) {
        RawResponse response = caller.get("/rota/whole/" + i + "?answerBytes=" + bytes, KEY);
        assertEquals(200, response.status(), response::toString);
        assertTrue(response.isComplete());
        assertTrue(response.body().length >= bytes);
        assertTrue(response.bodyText().contains("/rota/whole/" + i));
        assertEquals("run", response.execution());
      }
    }
  }

  /** Guards against a truncated response that a caller takes for a complete one. */
  @Test
  void truncatedResponseClosesCallerConnection() throws Exception {
    FLEET.backend(0).set(BackendParameter.TRUNCATE_SHARE, 1);
    for (int i = 0; i < 10; i++) {
      try (CallerConnection caller = connect()) {
        caller.send("GET /rota/truncated HTTP/1.1", "Authorization: Bearer " + KEY);
        RawResponse response = readOrClosed(caller);
        assertFalse(response.status() == 200 && response.isComplete(), response::toString);
      }
    }
  }

  /** Guards against a caller that receives the response to another request. */
  @Test
  void responseToAnotherRequestIsRefused() throws Exception {
    FLEET.backend(0).set(BackendParameter.CROSS_SHARE, 1);
    try (CallerConnection caller = connect()) {
      for (int i = 0; i < 10; i++) {
        RawResponse response = caller.get("/rota/crossed", KEY);
        assertNotEquals(200, response.status(), response::toString);
        assertNotEquals("not-run", response.execution(), response::toString);
      }
    }
  }

  /** Guards against a late refusal of another request that lets a booking be sent again. */
  @Test
  void unnamedRefusalOnUsedConnectionDoesNotCountAsNotRun() throws Exception {
    FLEET.awaitBooking(FLEET.vm(0));
    FLEET.backend(0).set(BackendParameter.SHED_SHARE, 1);
    FLEET.backend(0).set(BackendParameter.ECHO_REQUEST_ID, 0);
    try (CallerConnection caller = connect()) {
      RawResponse response = caller.post("/rota/bookings", KEY, TestKeys.newOperationKey(), "{}");
      assertEquals("may-have-run", response.execution(), response::toString);
    }
  }

  /** Guards against work that continues after its caller has disconnected. */
  @ParameterizedTest
  @ValueSource(strings = {"close", "reset"})
  void workIsCancelledWhenCallerDisconnects(String how) throws Exception {
    String target = "/rota/left/" + how + "?workMillis=3600000";
    CallerConnection caller = connect();
    caller.send("GET " + target + " HTTP/1.1", "Authorization: Bearer " + KEY);
    Conditions.await(
        "work began", () -> findRequests(target).stream().anyMatch(ReceivedRequest::hasStarted));
    if (how.equals("reset")) {
      caller.reset();
    }
    caller.close();
    Conditions.await(
        "work was cancelled",
        () ->
            findRequests(target).stream().anyMatch(entry -> entry.outcome() == Outcome.CANCELLED));
  }

  /** Guards against a caller that sends a workspace of its choice. */
  @ParameterizedTest
  @ValueSource(
      strings = {"Kumquatvane-Workspace", "KUMQUATVANE-WORKSPACE", "kumquatvane-workspace"})
  void workspaceIsDerivedFromKeyOnly(String header) throws Exception {
    String target = "/rota/workspace/" + header;
    try (CallerConnection caller = connect()) {
      caller.send("GET " + target + " HTTP/1.1", "Authorization: Bearer " + KEY, header + ": beta");
      assertEquals(200, caller.readResponse().status());
    }
    assertEquals(
        List.of("alpha"), findRequests(target).stream().map(ReceivedRequest::workspace).toList());
  }

  /**
   * Guards against a caller's key that reaches a server in an unusual part of a request; {@code
   * KEY} stands for the key.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /rota/k HTTP/1.1|AUTHORIZATION: Bearer KEY",
        "GET /rota/k HTTP/1.1|authorization: bearer KEY",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|Authorization: Bearer KEY",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|Authorization: other",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|X-Api-Key: KEY",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|Proxy-Authorization: Bearer KEY",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|Cookie: session=KEY",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|KEY: 1",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|Referer: http://x/?a=%6bv1_BARE",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|Idempotency-Key: KEY",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|Kumquatvane-Request-Id: KEY",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|Connection: keep-alive, KEY",
        "GET /rota/k HTTP/1.1|Authorization : Bearer KEY",
        "GET /rota/k HTTP/1.1|KEY : 1",
        "GET /rota/k HTTP/1.1|KEY",
        "GET /rota/k KEY HTTP/1.1|X: y",
        "KEY /rota/k HTTP/1.1|X: y",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|X-Folded: a| KEY",
        "GET /rota/k?key=KEY HTTP/1.1|Authorization: Bearer KEY",
        "GET /rota/k?key=KEY HTTP/1.1|X: y",
        "GET /rota/k?key=%6Bv1_BARE HTTP/1.1|Authorization: Bearer KEY",
        "GET /rota/k?key=%256Bv1_BARE HTTP/1.1|Authorization: Bearer KEY",
        "GET /rota/KEY HTTP/1.1|Authorization: Bearer KEY",
        "GET http://KEY@test/rota/k HTTP/1.1|Authorization: Bearer KEY",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|Transfer-Encoding: chunked||0|X-Key: KEY|",
        "GET /rota/k HTTP/1.1|Authorization: Bearer KEY|Transfer-Encoding: chunked||0"
            + "|Authorization: Bearer KEY|",
      })
  void callerKeyIsNeverForwarded(String form) throws Exception {
    String bare = KEY.substring("kv1_".length());
    String request = form.replace("KEY", KEY).replace("BARE", bare).replace("|", "\r\n");
    try (CallerConnection caller = connect()) {
      caller.write(request.replaceFirst("\r\n", "\r\nHost: test\r\n") + "\r\n\r\n");
      RawResponse response = readOrClosed(caller);
      assertTrue(response.status() < 500, response::toString);
    }
    try (CallerConnection next = connect()) {
      assertEquals(200, next.get("/rota/after", KEY).status());
    }
    assertEquals(
        List.of(),
        FLEET.receivedRequests().stream().filter(ReceivedRequest::callerKeySeen).toList());
    FLEET
        .receivedRequests()
        .forEach(entry -> assertEquals("alpha", entry.workspace(), entry::toString));
  }

  private static CallerConnection connect() throws IOException {
    return new CallerConnection(FLEET.vm(0).callerPort());
  }

  /** Reads a response; a connection that closes before the head is complete counts as status 0. */
  private static RawResponse readOrClosed(CallerConnection caller) throws IOException {
    try {
      return caller.readResponse();
    } catch (EOFException | SocketException e) {
      return new RawResponse(0, List.of(), new byte[0], false);
    }
  }

  private static List<ReceivedRequest> findRequests(String target) {
    return FLEET.receivedRequests().stream()
        .filter(entry -> entry.target().equals(target))
        .toList();
  }
}
