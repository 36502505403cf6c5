package org.kumquatvane.verification.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.standins.BackendParameter;
import org.kumquatvane.standins.ReceivedRequest;
import org.kumquatvane.standins.ReceivedRequest.Outcome;

/** Checks invariant 8: a booking runs at most once, whatever the caller or the servers do. */
class OperationsProcessTest {
  private static final String TARGET = "/rota/bookings";
  private static final Fleet FLEET = new Fleet(2, 2);
  private static final String KEY = FLEET.key("alpha");

  private final String operation = TestKeys.newOperationKey();

  @BeforeAll
  static void start() throws IOException {
    FLEET.start();
    FLEET.awaitBooking(FLEET.vm(0));
  }

  @AfterAll
  static void stop() {
    FLEET.close();
  }

  @BeforeEach
  void resetBehaviour() {
    for (int i = 0; i < 2; i++) {
      FLEET.backend(i).set(BackendParameter.TRUNCATE_SHARE, 0);
      FLEET.backend(i).set(BackendParameter.ERROR_SHARE, 0);
      FLEET.backend(i).restart();
    }
  }

  /**
   * Guards against a second truck for one pickup when its booking is sent again, to the same or to
   * another VM.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void repeatedBookingRunsOnceAndReturnsSameResponse(int repeatingVm) throws Exception {
    RawResponse first;
    try (CallerConnection caller = connect(0)) {
      first = caller.post(TARGET, KEY, operation, "{\"truck\":4}");
    }
    assertEquals(200, first.status(), first::toString);
    for (int i = 0; i < 3; i++) {
      try (CallerConnection caller = connect(repeatingVm)) {
        RawResponse repeated = caller.post(TARGET, KEY, operation, "{\"truck\":4}");
        assertEquals(200, repeated.status(), repeated::toString);
        assertEquals(first.bodyText(), repeated.bodyText());
        assertEquals("run", repeated.execution());
      }
    }
    assertEquals(1, FLEET.countRuns(operation));
  }

  /** Guards against an operation key that is accepted for a different booking. */
  @Test
  void reusedKeyWithAnotherBodyIsRefused() throws Exception {
    try (CallerConnection caller = connect(0);
        CallerConnection other = connect(1)) {
      assertEquals(200, caller.post(TARGET, KEY, operation, "{\"truck\":4}").status());
      assertEquals(
          "idempotency_key_reused", other.post(TARGET, KEY, operation, "{\"truck\":5}").reason());
      // Keys are scoped by workspace.
      assertEquals(200, other.post(TARGET, FLEET.key("beta"), operation, "{\"truck\":5}").status());
    }
    assertEquals(2, FLEET.countRuns(operation));
  }

  /** Guards against a retry of a booking that may have run. */
  @ParameterizedTest
  @ValueSource(strings = {"crash", "truncate", "error"})
  void bookingIsNotRetriedAfterFailure(String failure) throws Exception {
    for (int i = 0; i < 2; i++) {
      FLEET.backend(i).set(BackendParameter.TRUNCATE_SHARE, failure.equals("truncate") ? 1 : 0);
      FLEET.backend(i).set(BackendParameter.ERROR_SHARE, failure.equals("error") ? 1 : 0);
    }
    String target = failure.equals("crash") ? TARGET + "?crash-instance" : TARGET;
    for (int vm = 0; vm < 2; vm++) {
      try (CallerConnection caller = connect(vm)) {
        RawResponse response = caller.post(target, KEY, operation, "{}");
        assertNotEquals("not-run", response.execution(), response::toString);
      }
    }
    assertEquals(1, FLEET.countRuns(operation));
  }

  /** Guards against a booking that is lost because its caller disconnects. */
  @Test
  void bookingCompletesAfterCallerDisconnects() throws Exception {
    String target = TARGET + "?workMillis=1000";
    CallerConnection caller = connect(0);
    caller.sendPost(target, KEY, operation, "{}");
    Conditions.await("work began", () -> FLEET.countRuns(operation) == 1);
    caller.reset();
    RawResponse repeated;
    try (CallerConnection again = connect(1)) {
      repeated = again.post(target, KEY, operation, "{}");
    }
    assertEquals(200, repeated.status(), repeated::toString);
    assertEquals(1, FLEET.countRuns(operation));
    assertTrue(
        FLEET.receivedRequests().stream()
            .filter(entry -> operation.equals(entry.idempotencyKey()))
            .map(ReceivedRequest::outcome)
            .allMatch(Outcome.ANSWERED::equals));
  }

  private static CallerConnection connect(int vm) throws IOException {
    return new CallerConnection(FLEET.vm(vm).callerPort());
  }
}
