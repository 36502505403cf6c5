package org.kumquatvane.ejection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.VmId;
import org.kumquatvane.testing.DiscardingEventLog;
import org.kumquatvane.testing.RecordingCounters;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedScheduler;

/**
 * Guards against a poison request that crashes one instance after another, and against blocked
 * harmless requests.
 */
class SharedCrashGuardTest {
  private static final int VMS = 4;
  private static final RequestFingerprint POISON = new RequestFingerprint("poison");
  private static final RequestFingerprint HARMLESS = new RequestFingerprint("innocent");

  private final SimulatedClock clock = new SimulatedClock();
  private final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  private final SimulatedNetwork network =
      new SimulatedNetwork(clock, scheduler, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
  private final List<SharedCrashGuard> guards = new ArrayList<>();

  @BeforeEach
  void connect() {
    List<VmId> ids = IntStream.range(0, VMS).mapToObj(vm -> new VmId("e" + vm)).toList();
    for (VmId id : ids) {
      SharedCrashGuard guard =
          new SharedCrashGuard(
              clock,
              () -> ids.stream().filter(other -> !other.equals(id)).toList(),
              network.sender(id),
              new RecordingCounters(),
              new DiscardingEventLog());
      network.connect(id, (sender, message) -> guard.handle(sender, (CrashReport) message));
      guards.add(guard);
    }
  }

  private void loseInstance(int vm, RequestFingerprint fingerprint, int instance) {
    guards.get(vm).recordInstanceLoss(fingerprint, new InstanceId("r" + instance));
    scheduler.advance(Duration.ofSeconds(1));
  }

  private long countBlockingVms(RequestFingerprint fingerprint) {
    return guards.stream().filter(guard -> guard.isBlocked(fingerprint)).count();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void secondLostInstanceBlocksRequestOnEveryVmUntilBlockExpires(int secondVm) {
    loseInstance(0, POISON, 1);
    assertEquals(0, countBlockingVms(POISON));
    loseInstance(secondVm, POISON, 2);
    assertEquals(VMS, countBlockingVms(POISON));
    scheduler.advance(Duration.ofMinutes(11));
    assertEquals(0, countBlockingVms(POISON));
  }

  @Test
  void repeatedLossOfSameInstanceCountsOnce() {
    loseInstance(0, POISON, 1);
    loseInstance(1, POISON, 1);
    assertEquals(0, countBlockingVms(POISON));
  }

  @Test
  void responseBetweenLossesClearsSuspicionOnEveryVm() {
    loseInstance(0, HARMLESS, 1);
    guards.get(1).recordResponse(HARMLESS, new InstanceId("r3"));
    scheduler.advance(Duration.ofSeconds(1));
    loseInstance(2, HARMLESS, 2);
    assertEquals(0, countBlockingVms(HARMLESS));
  }

  @Test
  void lossesOutsideWindowAreNotCombined() {
    loseInstance(0, HARMLESS, 1);
    scheduler.advance(Duration.ofMinutes(3));
    loseInstance(0, HARMLESS, 2);
    assertEquals(0, countBlockingVms(HARMLESS));
  }

  @Test
  void simultaneousLossOfManyInstancesBlocksNoRequest() {
    for (int instance = 0; instance < 6; instance++) {
      guards
          .get(instance % VMS)
          .recordInstanceLoss(
              new RequestFingerprint("other" + instance), new InstanceId("r" + instance));
    }
    scheduler.advance(Duration.ofMillis(10));
    loseInstance(0, HARMLESS, 0);
    loseInstance(0, HARMLESS, 1);
    assertEquals(0, countBlockingVms(HARMLESS));
  }

  @Test
  void twoConcurrentPoisonRequestsAreBothBlocked() {
    RequestFingerprint second = new RequestFingerprint("second");
    loseInstance(0, POISON, 1);
    loseInstance(1, second, 2);
    loseInstance(0, POISON, 3);
    loseInstance(1, second, 4);
    assertEquals(VMS, countBlockingVms(POISON));
    assertEquals(VMS, countBlockingVms(second));
  }

  @Test
  void suspectTableEvictsOldestFingerprint() {
    for (int i = 0; i < 3_000; i++) {
      guards
          .get(0)
          .handle(
              new VmId("e1"),
              new CrashReport(
                  new RequestFingerprint("f" + i),
                  new InstanceId("r1"),
                  CrashReport.Outcome.INSTANCE_LOST));
    }
    // The first fingerprint has been evicted, but not the last one.
    guards.get(0).recordInstanceLoss(new RequestFingerprint("f0"), new InstanceId("r2"));
    guards.get(0).recordInstanceLoss(new RequestFingerprint("f2999"), new InstanceId("r2"));
    assertFalse(guards.get(0).isBlocked(new RequestFingerprint("f0")));
    assertTrue(guards.get(0).isBlocked(new RequestFingerprint("f2999")));
  }
}
