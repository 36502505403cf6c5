package org.kumquatvane.verification.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.standins.Availability;
import org.kumquatvane.standins.BackendParameter;
import org.kumquatvane.standins.ReceivedRequest;

/**
 * Checks invariants 4, 9, 10 and 11 while keys, instances and configurations change and VMs stop.
 */
class LifecycleProcessTest {
  /** Guards against a planned stop that interrupts a request in flight. */
  @ParameterizedTest
  @CsvSource({"GET, 256", "GET, 5000000", "POST, 256"})
  void requestInFlightCompletesDuringPlannedStop(String method, int bytes) throws Exception {
    try (Fleet fleet = new Fleet(2, 1).start()) {
      fleet.awaitBooking(fleet.vm(0));
      String target = "/rota/bookings?workMillis=2000&answerBytes=" + bytes;
      try (CallerConnection caller = connect(fleet, 0)) {
        if (method.equals("GET")) {
          caller.send("GET " + target + " HTTP/1.1", bearer(fleet));
        } else {
          caller.sendPost(target, fleet.key("alpha"), TestKeys.newOperationKey(), "{}");
        }
        Conditions.await("work began", () -> fleet.countStarted(target) == 1);
        fleet.vm(0).terminate();
        RawResponse response = caller.readResponse();
        assertEquals(200, response.status(), response::toString);
        assertTrue(response.isComplete());
        assertTrue(response.body().length >= bytes);
      }
      assertEquals(0, fleet.vm(0).awaitExitCode(), fleet.vm(0)::log);
      assertEquals(1, fleet.countStarted(target));
    }
  }

  /** Guards against a key that stays usable on connections opened before its withdrawal. */
  @Test
  void withdrawnKeyIsRefusedOnOpenConnections() throws Exception {
    try (Fleet fleet = new Fleet(2, 1).start();
        CallerConnection first = connect(fleet, 0);
        CallerConnection second = connect(fleet, 1)) {
      String withdrawn = fleet.key("alpha");
      String granted = TestKeys.callerKey("alpha-2");
      assertEquals(200, first.get("/rota/before", withdrawn).status());
      assertEquals(200, second.get("/rota/before", withdrawn).status());
      fleet.replaceKey("alpha", granted);
      for (CallerConnection caller : List.of(first, second)) {
        Conditions.await(
            "the key is refused", () -> caller.get("/rota/until", withdrawn).status() == 401);
        for (int i = 0; i < 20; i++) {
          assertEquals(401, caller.get("/rota/after", withdrawn).status());
          assertEquals(200, caller.get("/rota/granted", granted).status());
        }
      }
      assertEquals(0, fleet.countStarted("/rota/after"));
    }
  }

  /** Guards against a VM that never becomes ready if the platform is unavailable at its start. */
  @ParameterizedTest
  @EnumSource(
      value = Availability.class,
      names = {"REFUSING", "HANGING"})
  void becomesReadyOncePlatformIsAvailable(Availability availability) throws Exception {
    try (Fleet fleet = new Fleet(1, 1)) {
      fleet.platform().setViewFaults(0, availability, 0, 0);
      fleet.vm(0).start();
      Conditions.await(
          "the process is live", () -> fleet.vm(0).getFromAdmin("/v1/live").statusCode() == 200);
      assertFalse(fleet.vm(0).isReady());
      fleet.platform().setViewFaults(0, Availability.ANSWERING, 0, 0);
      fleet.vm(0).awaitReady();
      awaitLookup(fleet, 0);
    }
  }

  /** Guards against a running fleet that stops serving while the platform is unavailable. */
  @ParameterizedTest
  @EnumSource(
      value = Availability.class,
      names = {"REFUSING", "HANGING"})
  void runningFleetServesWhilePlatformIsUnavailable(Availability availability) throws Exception {
    try (Fleet fleet = new Fleet(2, 1).start()) {
      fleet.platform().setViewFaults(0, availability, 0, 0);
      for (int i = 0; i < 20; i++) {
        awaitLookup(fleet, i % 2);
      }
      assertTrue(fleet.vm(0).isReady());
      assertTrue(fleet.vm(1).isReady());
    }
  }

  /** Guards against a configuration that reverts when the platform returns an older document. */
  @Test
  void staleDocumentIsIgnored() throws Exception {
    try (Fleet fleet = new Fleet(1, 1).start()) {
      String withdrawn = fleet.key("alpha");
      fleet.replaceKey("alpha", TestKeys.callerKey("alpha-2"));
      awaitLookup(fleet, 0);
      fleet.platform().setViewFaults(0, Availability.ANSWERING, 0, 1);
      long calls = fleet.platform().callCount(0);
      Conditions.await(
          "the platform was read again", () -> fleet.platform().callCount(0) > calls + 2);
      try (CallerConnection caller = connect(fleet, 0)) {
        assertEquals(401, caller.get("/rota/stale", withdrawn).status());
        assertEquals(200, caller.get("/rota/stale", fleet.key("alpha")).status());
      }
    }
  }

  /** Guards against new requests to an instance that is leaving. */
  @ParameterizedTest
  @ValueSource(strings = {"list", "removed", "header"})
  void leavingInstanceReceivesNoNewRequests(String signal) throws Exception {
    try (Fleet fleet = new Fleet(1, 2).start();
        CallerConnection caller = connect(fleet, 0)) {
      String key = fleet.key("alpha");
      Conditions.await(
          "both instances work",
          () -> {
            assertEquals(200, caller.get("/rota/both", key).status());
            return countStartedRequests(fleet, 0) > 0 && countStartedRequests(fleet, 1) > 0;
          });
      switch (signal) {
        case "list" -> fleet.platform().setVmState("rota-0", "leaving");
        case "removed" -> fleet.platform().removeVm("rota-0");
        default -> fleet.backend(0).set(BackendParameter.DRAINING, 1);
      }
      Conditions.await(
          "50 requests in a row go to the other instance",
          () -> {
            long before = countStartedRequests(fleet, 0);
            for (int i = 0; i < 50; i++) {
              assertEquals(200, caller.get("/rota/leaving", key).status());
            }
            return countStartedRequests(fleet, 0) == before;
          });
      long before = countStartedRequests(fleet, 0);
      for (int i = 0; i < 200; i++) {
        assertEquals(200, caller.get("/rota/left", key).status());
      }
      assertEquals(before, countStartedRequests(fleet, 0));
    }
  }

  private static void awaitLookup(Fleet fleet, int vm) {
    Conditions.await(
        "a look-up is served",
        () -> {
          try (CallerConnection caller = connect(fleet, vm)) {
            return caller.get("/rota/look-up", fleet.key("alpha")).status() == 200;
          }
        },
        fleet.vm(vm)::log);
  }

  private static long countStartedRequests(Fleet fleet, int backend) {
    return fleet.backend(backend).requests().stream().filter(ReceivedRequest::hasStarted).count();
  }

  private static String bearer(Fleet fleet) {
    return "Authorization: Bearer " + fleet.key("alpha");
  }

  private static CallerConnection connect(Fleet fleet, int vm) throws IOException {
    return new CallerConnection(fleet.vm(vm).callerPort());
  }
}
