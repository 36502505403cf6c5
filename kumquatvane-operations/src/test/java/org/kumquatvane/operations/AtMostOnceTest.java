package org.kumquatvane.operations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.kumquatvane.core.VmId;

/**
 * Guards against a second run of an operation when its caller repeats the key at several VMs while
 * messages are lost, duplicated or delayed, VMs pause, crash or are replaced, and views change.
 * {@code -Dkumquatvane.seeds=<n>} runs more seeds.
 */
final class AtMostOnceTest {
  private static final int MAXIMUM_VM_COUNT = 9;
  private static final int VM_COUNT = 7;
  private static final int RECENT_KEYS = 60;
  private static final OperationSettings SETTINGS =
      new OperationSettings(Duration.ofSeconds(60), 300, Duration.ofSeconds(2));

  static LongStream seeds() {
    return LongStream.rangeClosed(1, Integer.getInteger("kumquatvane.seeds", 10));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void operationRunsAtMostOnceUnderFaults(long seed) {
    OperationFleet fleet = fleet(seed);
    List<String> keys = new ArrayList<>();
    List<VmId> paused = new ArrayList<>();
    List<VmId[]> blocked = new ArrayList<>();
    for (int step = 0; step < 12_000; step++) {
      sendRandomRequests(fleet, keys);
      if (fleet.random.nextInt(150) == 0) {
        injectRandomFault(fleet, paused, blocked);
      }
      fleet.scheduler.advance(Duration.ofMillis(10));
    }
    assertNoDuplicateRun(fleet, seed);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void operationRunsAtMostOnceWhileAllVmsAreReplaced(long seed) {
    OperationFleet fleet = fleet(seed);
    List<String> keys = new ArrayList<>();
    for (Map.Entry<VmId, ReplicatedOperationLedger> each :
        new TreeMap<>(fleet.ledgers).entrySet()) {
      if (fleet.random.nextBoolean()) {
        each.getValue().handOver();
      }
      fleet.kill(each.getKey());
      fleet.start();
      fleet.requestViewOfAllVms();
      int pace = 1 + fleet.random.nextInt(1_200);
      for (int step = 0; step < pace; step++) {
        sendRandomRequests(fleet, keys);
        fleet.scheduler.advance(Duration.ofMillis(10));
      }
    }
    assertNoDuplicateRun(fleet, seed);
  }

  private static OperationFleet fleet(long seed) {
    OperationFleet fleet = new OperationFleet(seed, MAXIMUM_VM_COUNT, SETTINGS);
    for (int i = 0; i < VM_COUNT; i++) {
      fleet.start();
    }
    fleet.requestViewOfAllVms();
    fleet.scheduler.advance(Duration.ofSeconds(8));
    return fleet;
  }

  private static void sendRandomRequests(OperationFleet fleet, List<String> keys) {
    if (fleet.random.nextInt(10) == 0) {
      keys.add(fleet.newKey());
      if (keys.size() > RECENT_KEYS) {
        keys.remove(0);
      }
    }
    if (!keys.isEmpty() && fleet.random.nextInt(3) == 0) {
      // Most repeats follow shortly after the first request.
      int age = Math.min(fleet.random.nextInt(RECENT_KEYS), fleet.random.nextInt(RECENT_KEYS));
      String key = keys.get(Math.max(0, keys.size() - 1 - age));
      fleet.request(
          fleet.randomVm(), key, Duration.ofMillis(fleet.random.nextInt(3_000)), verdict -> {});
    }
  }

  private static void injectRandomFault(
      OperationFleet fleet, List<VmId> paused, List<VmId[]> blocked) {
    paused.removeIf(vm -> !fleet.ledgers.containsKey(vm));
    switch (fleet.random.nextInt(8)) {
      case 0 -> {
        VmId vm = fleet.randomVm();
        fleet.vms.pause(vm);
        paused.add(vm);
      }
      case 1, 2 -> {
        if (!paused.isEmpty()) {
          fleet.vms.resume(paused.remove(0));
        }
      }
      case 3 -> {
        fleet.kill(fleet.randomVm());
        fleet.start();
        fleet.requestViewOfAllVms();
      }
      case 4 -> {
        TreeSet<VmId> members = new TreeSet<>(fleet.vms.alive());
        members.removeIf(vm -> fleet.random.nextInt(4) == 0 || paused.contains(vm));
        fleet.vms.requestView(members);
      }
      case 5 -> {
        VmId[] direction = {fleet.randomVm(), fleet.randomVm()};
        blocked.add(direction);
        fleet.network.setBlocked(direction[0], direction[1], true);
      }
      case 6 -> {
        blocked.forEach(pair -> fleet.network.setBlocked(pair[0], pair[1], false));
        blocked.clear();
        fleet.requestViewOfAllVms();
      }
      default -> {
        fleet.network.setFaults(fleet.random.nextDouble() * 0.2, fleet.random.nextDouble() * 0.3);
        fleet.network.setDelay(
            Duration.ofMillis(1), Duration.ofMillis(1 + fleet.random.nextInt(400)));
      }
    }
  }

  private static void assertNoDuplicateRun(OperationFleet fleet, long seed) {
    assertTrue(fleet.runCounts.size() > 20, "seed " + seed + ": too few operations ran");
    assertEquals(0, fleet.duplicateRuns(), "seed " + seed + ": operations that ran more than once");
  }
}
