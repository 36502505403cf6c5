package org.kumquatvane.limits;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.LimitMechanism;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.membership.testing.SimulatedMembership;
import org.kumquatvane.testing.FailingInvariantMonitor;

/**
 * Prints over-admission, wrongful refusals, added latency and messages of both mechanisms; a
 * command, not a test. docs/measurements.md gives the command line.
 */
final class RateAndBurstMeasurement {
  private static final int MAXIMUM_VM_COUNT = 40;
  private static final int VM_COUNT = 38;
  private static final int SECONDS = 20;
  private static final int ACTIVE_WORKSPACES = 20_000;

  /** Arrival patterns of requests. */
  enum Load {
    EVEN(0.8, false, false, false),
    UNEVEN(0.8, true, false, false),
    SMALL_BURST(0.5, false, false, true),
    SMALL_BURST_UNEVEN(0.5, true, false, true),
    ONE_OVER_RATE(0.8, true, true, false),
    UNEVEN_REPLACEMENT(0.8, true, false, false);

    private final double part;
    private final boolean uneven;
    private final boolean oneOver;
    private final boolean smallBurst;

    Load(double part, boolean uneven, boolean oneOver, boolean smallBurst) {
      this.part = part;
      this.uneven = uneven;
      this.oneOver = oneOver;
      this.smallBurst = smallBurst;
    }

    Map<String, RateLimit> rates() {
      Map<String, RateLimit> rates = new TreeMap<>();
      for (int i = 0; i < 8; i++) {
        RateLimit rate = i < 3 ? new RateLimit(400, 80) : new RateLimit(40, 20);
        rates.put("w" + i, smallBurst ? new RateLimit(20, 5) : rate);
      }
      return rates;
    }
  }

  private record Arrival(long nanos, WorkspaceId workspace, double perSecond)
      implements Comparable<Arrival> {
    @Override
    public int compareTo(Arrival other) {
      return Long.compare(nanos, other.nanos);
    }
  }

  private long offered;
  private long refused;

  @ParameterizedTest
  @EnumSource(Load.class)
  void measure(Load load) {
    for (LimitMechanism mechanism : LimitMechanism.values()) {
      measure(load, mechanism);
    }
  }

  private void measure(Load load, LimitMechanism mechanism) {
    offered = 0;
    refused = 0;
    LimiterFleet fleet =
        new LimiterFleet(
            11,
            MAXIMUM_VM_COUNT,
            LeaseSettings.defaults(),
            LimiterFleet.document(1, MAXIMUM_VM_COUNT, mechanism, load.rates()));
    fleet.network.setDelay(Duration.ofNanos(1_400_000), Duration.ofNanos(1_600_000));
    for (int i = 0; i < VM_COUNT; i++) {
      fleet.start();
    }
    fleet.proposeViewOfAllVms();
    fleet.scheduler.advance(Duration.ofSeconds(10));
    long messagesBefore = fleet.network.messagesSent();
    List<Long> waits = new ArrayList<>();
    PriorityQueue<Arrival> arrivals = new PriorityQueue<>();
    load.rates()
        .forEach(
            (name, rate) -> {
              double factor = load.oneOver && name.equals("w0") ? 5 : load.part;
              arrivals.add(
                  nextArrival(fleet, LimiterFleet.id(name), rate.requestsPerSecond() * factor, 0));
            });
    long end = fleet.clock.monotonicNanos() + Duration.ofSeconds(SECONDS).toNanos();
    long replaceAtNanos = fleet.clock.monotonicNanos();
    while (fleet.clock.monotonicNanos() < end) {
      if (load == Load.UNEVEN_REPLACEMENT && fleet.clock.monotonicNanos() >= replaceAtNanos) {
        fleet.kill(fleet.limiters.keySet().iterator().next());
        fleet.start();
        fleet.proposeViewOfAllVms();
        replaceAtNanos += Duration.ofSeconds(5).toNanos();
      }
      Arrival arrival = arrivals.remove();
      fleet.scheduler.advance(
          Duration.ofNanos(Math.max(0, arrival.nanos - fleet.clock.monotonicNanos())));
      offered++;
      fleet.request(
          pickVm(fleet, load),
          arrival.workspace,
          (decision, arrived) -> {
            if (decision instanceof LimitDecision.Admitted) {
              waits.add(fleet.clock.monotonicNanos() - arrived);
            } else {
              refused++;
            }
          });
      arrivals.add(nextArrival(fleet, arrival.workspace, arrival.perSecond, arrival.nanos));
    }
    fleet.scheduler.advance(Duration.ofSeconds(1));
    print(load, mechanism, fleet, waits, fleet.network.messagesSent() - messagesBefore);
  }

  private static Arrival nextArrival(
      LimiterFleet fleet, WorkspaceId workspace, double perSecond, long after) {
    long from = Math.max(after, fleet.clock.monotonicNanos());
    double seconds = -Math.log(1 - fleet.random.nextDouble()) / perSecond;
    return new Arrival(from + (long) (seconds * 1e9), workspace, perSecond);
  }

  /** With uneven arrival half of the requests arrive at about a tenth of the VMs. */
  private static VmId pickVm(LimiterFleet fleet, Load load) {
    List<VmId> all = new ArrayList<>(fleet.limiters.keySet());
    int index =
        load.uneven
            ? (int) (all.size() * Math.pow(fleet.random.nextDouble(), 3.3))
            : fleet.random.nextInt(all.size());
    return all.get(index);
  }

  private void print(
      Load load, LimitMechanism mechanism, LimiterFleet fleet, List<Long> waits, long messages) {
    Collections.sort(waits);
    double excess =
        fleet.histories.values().stream()
            .mapToDouble(history -> Math.max(0, history.largestExcess()))
            .sum();
    long wrongful =
        fleet.histories.values().stream().mapToLong(AdmissionHistory::wrongfullyRefused).sum();
    System.out.printf(
        Locale.ROOT,
        "| %s | %s | %d | %d | %.1f | %d (%.2f %%) | %d | %.1f | %.1f | %d | %.2f |%n",
        load,
        mechanism,
        offered,
        waits.size(),
        excess,
        wrongful,
        100.0 * wrongful / offered,
        refused - wrongful,
        millis(waits, 0.5),
        millis(waits, 0.99),
        messages / SECONDS,
        messages / (double) Math.max(1, waits.size()));
  }

  private static double millis(List<Long> sorted, double quantile) {
    return sorted.isEmpty() ? 0 : sorted.get((int) (sorted.size() * quantile)) / 1e6;
  }

  @Test
  void memoryOfActiveWorkspaces() {
    Map<String, RateLimit> rates = new TreeMap<>();
    for (int i = 0; i < ACTIVE_WORKSPACES; i++) {
      rates.put("w" + i, new RateLimit(400, 400));
    }
    LimiterFleet fleet =
        new LimiterFleet(
            1,
            1,
            LeaseSettings.defaults(),
            LimiterFleet.document(1, 1, LimitMechanism.LEASED_SHARES, rates));
    fleet.start();
    fleet.proposeViewOfAllVms();
    fleet.scheduler.advance(Duration.ofSeconds(10));
    SimulatedMembership vm = fleet.vms.member(fleet.anyVm());
    LeasedShareLimiter limiter =
        new LeasedShareLimiter(
            vm.time(),
            vm.time(),
            fleet.network.sender(vm.self().id()),
            vm,
            new FailingInvariantMonitor(),
            LeaseSettings.defaults());
    limiter.documentInForce(LimiterFleet.document(1, 1, LimitMechanism.LEASED_SHARES, rates));
    fleet.scheduler.advance(Duration.ofSeconds(10));
    long before = usedBytes();
    Deadline deadline = Deadline.after(vm.time(), Duration.ofSeconds(1));
    rates.keySet().forEach(name -> limiter.acquire(LimiterFleet.id(name), deadline, d -> {}));
    long bytes = (usedBytes() - before) / ACTIVE_WORKSPACES;
    System.out.printf(Locale.ROOT, "bytes per active workspace without leases: %d%n", bytes);
    limiter.close();
    assertTrue(bytes > 0, "memory was not measured");
  }

  private static long usedBytes() {
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
