package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.platform.trial.StoreStandIn;
import org.kumquatvane.verification.platform.PlatformFleet.Placement;
import org.kumquatvane.verification.platform.PlatformFleet.Vm;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against VMs that ignore all changes after the store has returned from an older copy, and
 * against a withdrawn key or an instance that has left being in use again because the copy names
 * it.
 */
class StoreReturnProcessTest {
  private static final int STOP_GRACE_SECONDS = 6;
  private static final int LOST_WRITES = 9;
  private static final String WITHDRAWN_KEY = "key-withdrawn-and-lost";
  private static final String LATER_KEY = "key-withdrawn-after-return";
  private static final long AWAY_MILLIS = 2_000;

  /** What is written before a VM reads the store again. */
  enum WritesAfterReturn {
    FEWER_THAN_LOST(0),
    MORE_THAN_LOST(LOST_WRITES + 3);

    private final int count;

    WritesAfterReturn(int count) {
      this.count = count;
    }
  }

  @ParameterizedTest
  @CsvSource({
    "FEWER_THAN_LOST, ONE_FAILURE_DOMAIN, 1",
    "MORE_THAN_LOST, ONE_FAILURE_DOMAIN, 1",
    "MORE_THAN_LOST, FAILURE_DOMAIN_EACH, 2"
  })
  void followsStoreAndKeepsWithdrawals(WritesAfterReturn writes, Placement placement, int returns)
      throws IOException, InterruptedException {
    try (PlatformFleet fleet = new PlatformFleet(4, 3, STOP_GRACE_SECONDS, placement)) {
      StoreStandIn store = fleet.store();
      fleet.publish(List.of(PlatformFleet.KEY, WITHDRAWN_KEY, LATER_KEY), "/bookings/");
      awaitStatus(fleet, WITHDRAWN_KEY, 200);
      StoreStandIn.Copy copy = store.copy();
      fleet.publish(List.of(PlatformFleet.KEY, LATER_KEY), "/bookings/");
      store.put(fleet.instance(2).storeKey(), fleet.instance(2).storeEntry("draining"));
      rewriteEntry(fleet, LOST_WRITES);
      awaitStatus(fleet, WITHDRAWN_KEY, 401);
      awaitPosition(fleet);
      int runs = fleet.instance(2).startedRequests().size();
      for (int i = 0; i < returns; i++) {
        store.setAvailable(false);
        Thread.sleep(AWAY_MILLIS);
        store.returnTo(copy);
        rewriteEntry(fleet, writes.count);
        store.setAvailable(true);
      }
      awaitPosition(fleet);
      assertEquals(List.of(), statusesOtherThan(fleet, WITHDRAWN_KEY, 401));
      assertEquals(List.of(), statusesOtherThan(fleet, PlatformFleet.KEY, 200));
      assertEquals(runs, fleet.instance(2).startedRequests().size());
      if (placement == Placement.ONE_FAILURE_DOMAIN) {
        Vm restarted = fleet.vm(1);
        restarted.process().destroyForcibly().waitFor();
        fleet.start(restarted);
        fleet.awaitReady(restarted);
        awaitStatus(fleet, WITHDRAWN_KEY, 401);
      }
      fleet.publish(List.of(PlatformFleet.KEY), "/moved-bookings/");
      awaitStatus(fleet, LATER_KEY, 401);
      for (Vm vm : fleet.vms()) {
        Conditions.await(
            "the route is in force",
            () -> fleet.send(vm, "POST", "/moved-bookings/1").statusCode() == 200,
            vm::log);
      }
      assertEquals(List.of(), statusesOtherThan(fleet, WITHDRAWN_KEY, 401));
    }
  }

  private static void rewriteEntry(PlatformFleet fleet, int times) {
    for (int i = 0; i < times; i++) {
      fleet.store().put(fleet.instance(0).storeKey(), fleet.instance(0).storeEntry("ready"));
    }
  }

  private static void awaitStatus(PlatformFleet fleet, String key, int status) {
    for (Vm vm : fleet.vms()) {
      Conditions.await(
          "status " + status + " for " + key, () -> lookUp(fleet, vm, key) == status, vm::log);
    }
  }

  /** Waits until all VMs report the era and the revision of the store. */
  private static void awaitPosition(PlatformFleet fleet) {
    for (Vm vm : fleet.vms()) {
      Conditions.await(
          "position " + fleet.store().position(),
          () ->
              fleet
                  .getFromOperator(vm, "/v1/source")
                  .body()
                  .replaceAll("\\s", "")
                  .contains(fleet.store().position()),
          vm::log);
    }
  }

  private static List<String> statusesOtherThan(PlatformFleet fleet, String key, int expected)
      throws IOException, InterruptedException {
    List<String> others = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      for (Vm vm : fleet.vms()) {
        int status = lookUp(fleet, vm, key);
        if (status != expected) {
          others.add(vm.callerPort() + " " + status);
        }
      }
    }
    return others;
  }

  private static int lookUp(PlatformFleet fleet, Vm vm, String key)
      throws IOException, InterruptedException {
    return fleet.send(vm, "GET", "/lookups/1", key, UUID.randomUUID().toString()).statusCode();
  }
}
