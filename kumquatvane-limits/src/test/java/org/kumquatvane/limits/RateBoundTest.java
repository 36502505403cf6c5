package org.kumquatvane.limits;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.kumquatvane.core.VmId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.LimitMechanism;
import org.kumquatvane.document.RateLimit;

/**
 * Guards against admitting more than {@code rate * T + burst} over any interval when messages are
 * lost, duplicated, delayed or blocked in one direction, VMs pause and resume late or are replaced,
 * and views differ. {@code -Dkumquatvane.seeds=<n>} runs more seeds.
 */
final class RateBoundTest {
  private static final int MAXIMUM_VM_COUNT = 12;
  private static final int VM_COUNT = 12;
  private static final double TOLERANCE = 1e-3;
  private static final LeaseSettings SHORT_LEASES =
      new LeaseSettings(
          Duration.ofSeconds(12),
          Duration.ofSeconds(3),
          Duration.ofMillis(1200),
          Duration.ofMillis(12));
  private static final Map<String, RateLimit> RATES =
      Map.of(
          "small", new RateLimit(20, 2),
          "medium", new RateLimit(60, 5),
          "large", new RateLimit(300, 100));

  static LongStream seeds() {
    return LongStream.rangeClosed(1, Integer.getInteger("kumquatvane.seeds", 24));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void boundHoldsUnderFaults(long seed) {
    LimiterFleet fleet = startFleet(seed, LimitMechanism.LEASED_SHARES);
    List<VmId> paused = new ArrayList<>();
    List<VmId[]> blocked = new ArrayList<>();
    for (int step = 0; step < 30_000; step++) {
      sendRequests(fleet);
      if (fleet.random.nextInt(400) == 0) {
        injectFault(fleet, paused, blocked);
      }
      fleet.scheduler.advance(Duration.ofMillis(1));
    }
    assertBound(fleet, seed);
  }

  @ParameterizedTest
  @EnumSource(LimitMechanism.class)
  void boundHoldsWhenEveryVmIsReplaced(LimitMechanism mechanism) {
    LimiterFleet fleet = startFleet(99, mechanism);
    for (int replaced = 0; replaced < 60; replaced++) {
      fleet.kill(fleet.anyVm());
      fleet.start();
      fleet.proposeViewOfAllVms();
      int steps = 50 + fleet.random.nextInt(replaced % 10 == 0 ? 12_000 : 500);
      for (int step = 0; step < steps; step++) {
        sendRequests(fleet);
        fleet.scheduler.advance(Duration.ofMillis(1));
      }
    }
    assertBound(fleet, 99);
  }

  @ParameterizedTest
  @EnumSource(LimitMechanism.class)
  void boundHoldsWhenTheMechanismChanges(LimitMechanism first) {
    LimiterFleet fleet = startFleet(7, first);
    LimitMechanism next = first;
    for (int change = 2; change < 8; change++) {
      next =
          next == LimitMechanism.LEASED_SHARES
              ? LimitMechanism.STATIC_DIVISION
              : LimitMechanism.LEASED_SHARES;
      fleet.distribute(
          LimiterFleet.document(change, MAXIMUM_VM_COUNT, next, RATES), Duration.ofSeconds(2));
      for (int step = 0; step < 4_000; step++) {
        sendRequests(fleet);
        fleet.scheduler.advance(Duration.ofMillis(1));
      }
    }
    assertBound(fleet, 7);
  }

  private static LimiterFleet startFleet(long seed, LimitMechanism mechanism) {
    Document document = LimiterFleet.document(1, MAXIMUM_VM_COUNT, mechanism, RATES);
    LimiterFleet fleet = new LimiterFleet(seed, MAXIMUM_VM_COUNT, SHORT_LEASES, document);
    for (int i = 0; i < VM_COUNT; i++) {
      fleet.start();
    }
    fleet.proposeViewOfAllVms();
    return fleet;
  }

  /** Sends about four times each rate, in bursts to one VM and spread over all VMs. */
  private static void sendRequests(LimiterFleet fleet) {
    RATES.forEach(
        (name, rate) -> {
          double perStep = 4 * rate.requestsPerSecond() / 1000;
          if (fleet.random.nextDouble() < perStep) {
            int burst = fleet.random.nextInt(50) == 0 ? (int) rate.burstRequests() + 2 : 1;
            VmId vm = fleet.anyVm();
            for (int i = 0; i < burst; i++) {
              if (fleet.vms.member(vm).time().isRunning()) {
                fleet.request(vm, LimiterFleet.id(name));
              }
            }
          }
        });
  }

  private static void injectFault(LimiterFleet fleet, List<VmId> paused, List<VmId[]> blocked) {
    paused.removeIf(vm -> !fleet.limiters.containsKey(vm));
    switch (fleet.random.nextInt(8)) {
      case 0 -> {
        VmId vm = fleet.anyVm();
        fleet.vms.pause(vm);
        paused.add(vm);
      }
      case 1, 2 -> {
        if (!paused.isEmpty()) {
          VmId vm = paused.remove(0);
          // The resumed process handles a request before anything else.
          RATES.keySet().forEach(name -> fleet.request(vm, LimiterFleet.id(name)));
          fleet.vms.resume(vm);
        }
      }
      case 3 -> {
        VmId vm = fleet.anyVm();
        fleet.kill(vm);
        fleet.start();
        fleet.proposeViewOfAllVms();
      }
      case 4 -> {
        TreeSet<VmId> members = new TreeSet<>(fleet.vms.alive());
        members.removeIf(vm -> fleet.random.nextInt(4) == 0);
        fleet.vms.requestView(members);
      }
      case 5 -> {
        VmId[] direction = {fleet.anyVm(), fleet.anyVm()};
        blocked.add(direction);
        fleet.network.setBlocked(direction[0], direction[1], true);
      }
      case 6 -> {
        blocked.forEach(pair -> fleet.network.setBlocked(pair[0], pair[1], false));
        blocked.clear();
        fleet.proposeViewOfAllVms();
      }
      default -> {
        fleet.network.setFaults(fleet.random.nextDouble() * 0.2, fleet.random.nextDouble() * 0.3);
        fleet.network.setDelay(
            Duration.ofMillis(1), Duration.ofMillis(1 + fleet.random.nextInt(60)));
      }
    }
  }

  private static void assertBound(LimiterFleet fleet, long seed) {
    assertTrue(
        fleet.history(LimiterFleet.id("large")).admitted() > 100, "too few requests were admitted");
    fleet.histories.forEach(
        (workspace, history) -> {
          assertTrue(
              history.largestExcess() <= TOLERANCE,
              "seed "
                  + seed
                  + ": "
                  + workspace
                  + " exceeds its bound by "
                  + history.largestExcess());
        });
  }
}
