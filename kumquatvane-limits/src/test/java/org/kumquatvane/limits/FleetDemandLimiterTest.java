package org.kumquatvane.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.FleetPolicy;
import org.kumquatvane.document.LimitMechanism;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.document.Workspace;
import org.kumquatvane.testing.DiscardingEventLog;
import org.kumquatvane.testing.RecordingCounters;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedScheduler;

/**
 * Guards against a fleet that admits more than a workspace's limit or refuses requests within it.
 * The bound over any window is rate and burst, plus 25 % and 20 requests.
 */
class FleetDemandLimiterTest {
  private static final WorkspaceId WORKSPACE = new WorkspaceId("large");
  private static final double RATE = 47;
  private static final double BURST = 47;
  private static final double OVERAGE = 1.25;
  private static final int SLACK = 20;
  private static final Duration WINDOW = Duration.ofSeconds(5);
  private static final int VMS = 32;

  /** Place in the order of the VM that all VMs choose first. */
  private static final int COORDINATOR = 1;

  private final SimulatedClock clock = new SimulatedClock();
  private final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11L);
  private final SimulatedNetwork network = new SimulatedNetwork(clock, scheduler, random);
  private final Set<VmId> live = new TreeSet<>();
  private final List<FleetDemandLimiter> limiters = new ArrayList<>();
  private final List<Long> admittedNanos = new ArrayList<>();
  private long sent;
  private int firstVm;

  private void startFleet(RateLimit limit) {
    for (int i = 0; i < VMS; i++) {
      live.add(new VmId("vm-" + i));
    }
    for (VmId name : live) {
      FleetDemandLimiter limiter = startLimiter(name, VMS);
      limiter.documentInForce(document(1, Optional.of(limit)));
      limiters.add(limiter);
    }
    scheduler.advance(Duration.ofSeconds(2));
  }

  private FleetDemandLimiter startLimiter(VmId name, int possibleVms) {
    FleetDemandLimiter limiter =
        new FleetDemandLimiter(
            name,
            () -> List.copyOf(live),
            () -> possibleVms,
            new LimitSlack(OVERAGE - 1, SLACK),
            network.sender(name),
            clock,
            scheduler,
            new RecordingCounters(),
            new DiscardingEventLog());
    PeerDispatcher dispatcher = new PeerDispatcher();
    limiter.registerHandlers(dispatcher);
    network.connect(name, dispatcher::dispatch);
    limiter.start();
    return limiter;
  }

  private static Document document(int generation, Optional<RateLimit> limit) {
    return new Document(
        generation,
        String.valueOf(generation),
        new FleetPolicy(1, LimitMechanism.LEASED_SHARES),
        limit.map(known -> new Workspace(WORKSPACE, List.of(), known)).stream().toList(),
        List.of(),
        List.of());
  }

  /** Sends requests at random times to random VMs, half of them to the first few. */
  private void sendLoad(double perSecond, Duration duration) {
    long end = clock.monotonicNanos() + duration.toNanos();
    while (clock.monotonicNanos() < end) {
      double gapSeconds = -Math.log(1 - random.nextDouble()) / perSecond;
      scheduler.advance(Duration.ofNanos((long) (gapSeconds * 1e9)));
      int vm = firstVm + random.nextInt((random.nextInt(2) == 0 ? 6 : VMS) - firstVm);
      sent++;
      limiters
          .get(vm)
          .acquire(
              WORKSPACE,
              Deadline.after(clock, Duration.ofSeconds(1)),
              decision -> {
                if (decision instanceof LimitDecision.Admitted) {
                  admittedNanos.add(clock.monotonicNanos());
                }
              });
    }
  }

  private int maxAdmittedPerWindow() {
    int max = 0;
    for (int from = 0, to = 0; to < admittedNanos.size(); to++) {
      while (admittedNanos.get(to) - admittedNanos.get(from) > WINDOW.toNanos()) {
        from++;
      }
      max = Math.max(max, to - from + 1);
    }
    return max;
  }

  private static double bound(double rate, double burst) {
    return (rate * WINDOW.toSeconds() + burst) * OVERAGE + SLACK;
  }

  /** The usual load is well below the rate, but uneven and bursty. */
  @ParameterizedTest
  @ValueSource(doubles = {5, 15, 29, 40})
  void requestsWithinTheRateAreNotRefused(double perSecond) {
    startFleet(new RateLimit(RATE, BURST));
    sendLoad(perSecond, Duration.ofSeconds(30));
    double refused = 1 - (double) admittedNanos.size() / sent;
    assertTrue(refused < 0.01, "refused share: " + refused);
  }

  /**
   * Bursts of a small workspace must neither be refused nor exceed the bound. On a day of normal
   * load, 103 requests of such workspaces were refused.
   */
  @Test
  void burstsOfSmallWorkspacesAreNotRefused() {
    startFleet(new RateLimit(9, 9));
    for (int i = 0; i < 8; i++) {
      sendLoad(4, Duration.ofSeconds(2));
      sendLoad(14, Duration.ofSeconds(2));
    }
    double refused = 1 - (double) admittedNanos.size() / sent;
    assertTrue(refused < 0.02, "refused share: " + refused);
    assertTrue(
        maxAdmittedPerWindow() <= bound(9, 9), "most in a window: " + maxAdmittedPerWindow());
  }

  /** The load of one workspace suddenly rises to several times its usual level. */
  @ParameterizedTest
  @CsvSource({"29, 90", "29, 220", "5, 220", "29, 400"})
  void suddenLoadStaysWithinTheBound(double before, double after) {
    startFleet(new RateLimit(RATE, BURST));
    sendLoad(before, Duration.ofSeconds(6));
    sendLoad(after, Duration.ofSeconds(8));
    sendLoad(before, Duration.ofSeconds(3));
    sendLoad(after, Duration.ofSeconds(8));
    assertTrue(
        maxAdmittedPerWindow() <= bound(RATE, BURST),
        "most in a window: " + maxAdmittedPerWindow());
  }

  /** Refusals during an overload must not reduce admissions below the rate. */
  @Test
  void sustainedOverloadIsAdmittedAtTheRate() {
    startFleet(new RateLimit(RATE, BURST));
    sendLoad(200, Duration.ofSeconds(20));
    assertTrue(admittedNanos.size() >= 0.85 * RATE * 20, "admitted: " + admittedNanos.size());
  }

  @Test
  void loweredRateTakesEffect() {
    startFleet(new RateLimit(RATE, BURST));
    sendLoad(40, Duration.ofSeconds(5));
    limiters.forEach(
        limiter -> limiter.documentInForce(document(2, Optional.of(new RateLimit(10, 10)))));
    sendLoad(40, Duration.ofSeconds(3));
    admittedNanos.clear();
    sendLoad(40, Duration.ofSeconds(15));
    assertTrue(
        maxAdmittedPerWindow() <= bound(10, 10), "most in a window: " + maxAdmittedPerWindow());
  }

  /**
   * A network partition isolates some VMs just before the load rises; both sides continue to serve.
   */
  @Test
  void splitFleetStaysWithinTheBound() {
    startFleet(new RateLimit(RATE, BURST));
    sendLoad(29, Duration.ofSeconds(5));
    List<VmId> all = List.copyOf(live);
    for (int i = 0; i < 10; i++) {
      for (int j = 10; j < VMS; j++) {
        network.setBlocked(all.get(i), all.get(j), true);
        network.setBlocked(all.get(j), all.get(i), true);
      }
    }
    sendLoad(29, Duration.ofSeconds(2));
    sendLoad(220, Duration.ofSeconds(10));
    assertTrue(
        maxAdmittedPerWindow() <= bound(RATE, BURST),
        "most in a window: " + maxAdmittedPerWindow());
  }

  @Test
  void coordinatorLossRefusesFewRequests() {
    startFleet(new RateLimit(RATE, BURST));
    sendLoad(29, Duration.ofSeconds(5));
    VmId coordinator = live.iterator().next();
    network.disconnect(coordinator);
    sent = 0;
    admittedNanos.clear();
    sendLoad(29, Duration.ofSeconds(8));
    double refused = 1 - (double) admittedNanos.size() / sent;
    assertTrue(refused < 0.1, "refused share: " + refused);
  }

  @Test
  void unlimitedWorkspacesAreNeverRefused() {
    startFleet(RateLimit.UNLIMITED);
    sendLoad(500, Duration.ofSeconds(2));
    assertEquals(sent, admittedNanos.size());
  }

  /** What the limit coordinator knows while the other VMs have an old or a new document. */
  enum Coordinator {
    /** It is cut off from the source, and the other VMs have a newer document. */
    BEHIND,
    /** It restarts while it is cut off, and knows neither a document nor the other VMs. */
    RESTARTED,
    /** It is the only one with the new document. */
    AHEAD
  }

  /**
   * The coordinator knows another document than the VMs that report to it. The newest limit counts,
   * and a coordinator that does not know the workspace must not lift its limit. A rate of 0 stands
   * for a workspace that is not in the document, a negative one for no limit.
   */
  @ParameterizedTest
  @CsvSource({
    "BEHIND, 0, 5",
    "BEHIND, -1, 5",
    "BEHIND, 47, 5",
    "BEHIND, 5, 47",
    "BEHIND, 5, -1",
    "BEHIND, 47, 47",
    "RESTARTED, 0, 5",
    "RESTARTED, -1, 5",
    "RESTARTED, 47, 5",
    "RESTARTED, 5, 47",
    "RESTARTED, 5, -1",
    "RESTARTED, 47, 47",
    "AHEAD, 47, 5",
    "AHEAD, 5, 47",
    "AHEAD, 5, -1"
  })
  void newestLimitHoldsWhateverTheCoordinatorKnows(
      Coordinator coordinator, double before, double after) {
    startFleet(limit(before).orElse(RateLimit.UNLIMITED));
    limiters.forEach(limiter -> limiter.documentInForce(document(2, limit(before))));
    if (coordinator == Coordinator.RESTARTED) {
      limiters.set(COORDINATOR, startLimiter(List.copyOf(live).get(COORDINATOR), 1));
    }
    for (int i = 0; i < VMS; i++) {
      if ((i == COORDINATOR) == (coordinator == Coordinator.AHEAD)) {
        limiters.get(i).documentInForce(document(3, limit(after)));
      }
    }
    firstVm = COORDINATOR + 1;
    sendLoad(80, Duration.ofSeconds(1));
    if (before != 0) {
      // A changed limit binds one window later.
      sendLoad(80, WINDOW);
      admittedNanos.clear();
    }
    sendLoad(80, WINDOW.multipliedBy(3));
    if (after > 0) {
      assertTrue(
          maxAdmittedPerWindow() <= bound(after, after),
          "most in a window: " + maxAdmittedPerWindow());
      assertTrue(admittedNanos.size() >= 0.7 * after * 15, "admitted: " + admittedNanos.size());
    }
    scheduler.advance(Duration.ofSeconds(3));
    sent = 0;
    admittedNanos.clear();
    sendLoad(after > 0 ? after * 0.6 : 80, Duration.ofSeconds(20));
    double refused = 1 - (double) admittedNanos.size() / sent;
    assertTrue(refused < 0.05, "refused share: " + refused);
  }

  private static Optional<RateLimit> limit(double rate) {
    if (rate == 0) {
      return Optional.empty();
    }
    return Optional.of(rate < 0 ? RateLimit.UNLIMITED : new RateLimit(rate, rate));
  }

  /**
   * A network partition with a coordinator on each side; one of them has restarted and knows
   * neither the document nor how many VMs there are.
   */
  @Test
  void restartedCoordinatorOfSplitFleetStaysWithinTheBound() {
    startFleet(new RateLimit(RATE, BURST));
    sendLoad(29, Duration.ofSeconds(3));
    List<VmId> all = List.copyOf(live);
    for (int i = 0; i < 10; i++) {
      for (int j = 10; j < VMS; j++) {
        network.setBlocked(all.get(i), all.get(j), true);
        network.setBlocked(all.get(j), all.get(i), true);
      }
    }
    limiters.set(COORDINATOR, startLimiter(all.get(COORDINATOR), 1));
    firstVm = COORDINATOR + 1;
    sendLoad(29, Duration.ofSeconds(2));
    sendLoad(220, Duration.ofSeconds(10));
    assertTrue(
        maxAdmittedPerWindow() <= bound(RATE, BURST),
        "most in a window: " + maxAdmittedPerWindow());
  }

  /** Answers without a share for the workspace must not count as the lack of a limit. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void silenceOrOldShareDoesNotLiftTheLimit(boolean sendsOldShare) {
    VmId self = new VmId("vm-1");
    live.add(new VmId("vm-0"));
    live.add(self);
    FleetDemandLimiter limiter = startLimiter(self, 2);
    limiters.add(limiter);
    limiter.documentInForce(document(5, Optional.of(new RateLimit(5, 5))));
    List<DemandShare.Share> shares =
        sendsOldShare ? List.of(new DemandShare.Share(WORKSPACE, 1, 0, 4)) : List.of();
    network.connect(
        new VmId("vm-0"),
        (from, message) -> network.sender(new VmId("vm-0")).send(from, new DemandShare(shares)));
    scheduler.advance(Duration.ofSeconds(2));
    while (clock.monotonicNanos() < Duration.ofSeconds(12).toNanos()) {
      scheduler.advance(Duration.ofMillis(10));
      limiter.acquire(
          WORKSPACE,
          Deadline.after(clock, Duration.ofSeconds(1)),
          decision -> {
            if (decision instanceof LimitDecision.Admitted) {
              admittedNanos.add(clock.monotonicNanos());
            }
          });
    }
    assertTrue(maxAdmittedPerWindow() <= bound(5, 5), "in a window: " + maxAdmittedPerWindow());
  }
}
