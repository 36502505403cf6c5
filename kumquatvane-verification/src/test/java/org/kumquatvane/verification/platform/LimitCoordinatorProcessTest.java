package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against a limit coordinator that lifts a workspace's limit on all other VMs because it
 * does not know the newest configuration.
 */
class LimitCoordinatorProcessTest {
  private static final int VMS = 3;
  private static final int RATE = 5;
  private static final int BURST = 5;
  private static final int REQUESTS = 400;
  private static final long REQUEST_INTERVAL_MILLIS = 12;
  private static final int STOP_GRACE_SECONDS = 60;
  private static final double OVERAGE = 1.25;
  private static final int SLACK = 20;
  private static final String LIMITED_KEY = "key-of-limited";

  /** Each VM is cut off in turn, since any of them may be the coordinator. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void addedLimitHoldsWhileOneVmIsCutOffFromTheStore(int cutOff) throws Exception {
    try (PlatformFleet fleet =
        new PlatformFleet(
            VMS, 2, STOP_GRACE_SECONDS, PlatformFleet.Placement.FAILURE_DOMAIN_EACH)) {
      fleet.vm(cutOff).cutOffFromStore();
      fleet.publishWithLimit(LIMITED_KEY, RATE, BURST);
      List<PlatformFleet.Vm> others = new ArrayList<>(fleet.vms());
      others.remove(cutOff);
      for (PlatformFleet.Vm vm : others) {
        Conditions.await(
            "the added key is known", () -> send(fleet, vm).join().statusCode() == 200, vm::log);
      }
      long start = System.nanoTime();
      List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        responses.add(send(fleet, others.get(i % others.size())));
        Thread.sleep(REQUEST_INTERVAL_MILLIS);
      }
      long served =
          responses.stream().filter(response -> response.join().statusCode() == 200).count();
      double seconds = (System.nanoTime() - start) / 1e9;
      double allowed = (RATE * seconds + BURST) * OVERAGE + SLACK;
      assertTrue(served <= allowed, served + " of " + allowed + " in " + seconds + " s");
    }
  }

  private static CompletableFuture<HttpResponse<String>> send(
      PlatformFleet fleet, PlatformFleet.Vm vm) {
    return fleet
        .client()
        .sendAsync(
            fleet.createRequest(vm, "GET", "/lookups/1", LIMITED_KEY, UUID.randomUUID().toString()),
            HttpResponse.BodyHandlers.ofString());
  }
}
