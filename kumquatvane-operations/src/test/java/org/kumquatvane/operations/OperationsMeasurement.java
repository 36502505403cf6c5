package org.kumquatvane.operations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;
import org.kumquatvane.testing.FailingInvariantMonitor;

/**
 * Prints the verdicts during a rolling replacement, the number of messages and the memory per
 * record. It is run by hand; see docs/measurements.md for the command line.
 */
final class OperationsMeasurement {
  private static final int VM_COUNT = 40;
  private static final int MAXIMUM_VM_COUNT = 42;
  private static final int RECORDS = 50_000;

  private final Map<String, Long> verdicts = new TreeMap<>();
  private final List<Long> waits = new ArrayList<>();

  /** Sends 50 operations per second with new keys, and one repeat of each. */
  @ParameterizedTest
  @CsvSource({"0, 5000", "5, 5000", "10, 5000", "20, 5000", "10, 1000", "10, 10000"})
  void measureRollingReplacement(int replaceEverySeconds, int callerWaitsMillis) {
    OperationFleet fleet = new OperationFleet(5, MAXIMUM_VM_COUNT, OperationSettings.defaults());
    fleet.network.setDelay(Duration.ofNanos(1_400_000), Duration.ofNanos(1_600_000));
    for (int i = 0; i < VM_COUNT; i++) {
      fleet.start();
    }
    fleet.requestViewOfAllVms();
    fleet.scheduler.advance(Duration.ofSeconds(15));
    long messagesBefore = fleet.network.messagesSent();
    List<VmId> initialVms = new ArrayList<>(fleet.ledgers.keySet());
    int seconds = replaceEverySeconds == 0 ? 60 : VM_COUNT * replaceEverySeconds;
    long operations = 0;
    String previousKey = fleet.newKey();
    for (int step = 0; step < seconds * 50; step++) {
      if (replaceEverySeconds > 0 && step % (replaceEverySeconds * 50) == 0) {
        replace(fleet, initialVms.remove(0));
      }
      String key = OperationFleet.keyAt(fleet.clock.epochMillis(), fleet.random);
      send(fleet, "first", key, callerWaitsMillis);
      send(fleet, "repeat", previousKey, callerWaitsMillis);
      previousKey = key;
      operations++;
      fleet.scheduler.advance(Duration.ofMillis(20));
    }
    fleet.scheduler.advance(Duration.ofSeconds(15));
    long messages = fleet.network.messagesSent() - messagesBefore;
    waits.sort(null);
    System.out.printf(
        Locale.ROOT,
        "| %d | %d | %d | %s | %.1f | %.1f | %.1f | %d |%n",
        replaceEverySeconds,
        callerWaitsMillis,
        operations,
        verdicts,
        waits.get(waits.size() / 2) / 1e6,
        waits.get((int) (waits.size() * 0.99)) / 1e6,
        messages / (double) operations,
        fleet.duplicateRuns());
    assertEquals(0, fleet.duplicateRuns(), "operations that ran more than once");
  }

  private static void replace(OperationFleet fleet, VmId leaving) {
    ReplicatedOperationLedger ledger = fleet.ledgers.get(leaving);
    if (ledger != null) {
      ledger.handOver();
    }
    fleet.scheduler.advance(Duration.ofMillis(10));
    fleet.kill(leaving);
    fleet.start();
    fleet.requestViewOfAllVms();
  }

  private void send(OperationFleet fleet, String kind, String key, int callerWaitsMillis) {
    long sent = fleet.clock.monotonicNanos();
    fleet.request(
        fleet.randomVm(),
        key,
        Duration.ofMillis(callerWaitsMillis),
        verdict -> {
          verdicts.merge(kind + " " + verdict.getClass().getSimpleName(), 1L, Long::sum);
          if (verdict instanceof BeginVerdict.Proceed) {
            waits.add(fleet.clock.monotonicNanos() - sent);
          }
        });
  }

  @Test
  void measureMemoryPerRecord() {
    OperationFleet fleet = new OperationFleet(1, 1, OperationSettings.defaults());
    var time = fleet.vms.start().time();
    fleet.scheduler.advance(Duration.ofSeconds(10));
    LocalOperationLedger ledger =
        new LocalOperationLedger(
            time,
            time,
            new VmId("e0"),
            new FailingInvariantMonitor(),
            new OperationSettings(Duration.ofHours(1), RECORDS, Duration.ZERO));
    var random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
    Deadline deadline = Deadline.after(time, Duration.ofSeconds(1));
    long before = usedBytes();
    for (int i = 0; i < RECORDS; i++) {
      fleet.scheduler.advance(Duration.ofMillis(1));
      Operation operation =
          new Operation(
              OperationFleet.WORKSPACE,
              OperationFleet.keyAt(time.epochMillis(), random),
              "f".repeat(63) + i % 10);
      ledger.begin(operation, deadline, verdict -> {});
      ledger.finish(
          operation,
          new OperationResult.Finished(new RecordedResponse(201, List.of(), new byte[256])));
    }
    long bytes = (usedBytes() - before) / RECORDS;
    System.out.printf(Locale.ROOT, "bytes per record with an answer of 256 bytes: %d%n", bytes);
    ledger.begin(
        new Operation(
            OperationFleet.WORKSPACE, OperationFleet.keyAt(time.epochMillis(), random), "x"),
        deadline,
        verdict -> {});
    assertTrue(bytes > 0, "memory was not measured");
  }

  private static long usedBytes() {
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
