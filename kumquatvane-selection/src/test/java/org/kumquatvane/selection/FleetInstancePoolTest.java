package org.kumquatvane.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.ejection.AttemptOutcome;
import org.kumquatvane.ejection.Eligibility;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedScheduler;

/**
 * Guards against sending requests to instances that other VMs have already found failing or full.
 */
class FleetInstancePoolTest {
  private static final ServiceName SERVICE = new ServiceName("rota");
  private static final FailureDomain DOMAIN = new FailureDomain("a");
  private static final Duration WORK = Duration.ofMillis(150);
  private static final int SLOTS = 2;

  private final SimulatedClock clock = new SimulatedClock();
  private final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L);
  private final SimulatedNetwork network = new SimulatedNetwork(clock, scheduler, random);
  private final List<VmId> vmIds = new ArrayList<>();
  private final List<FleetInstancePool> pools = new ArrayList<>();

  private void startFleet(int vms, Instance... instances) {
    IntStream.range(0, vms).forEach(i -> vmIds.add(new VmId("vm-" + i)));
    for (VmId name : vmIds) {
      FleetInstancePool pool =
          new FleetInstancePool(
              name,
              clock,
              scheduler,
              RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong()),
              DOMAIN,
              () -> vmIds.stream().filter(other -> !other.equals(name)).toList(),
              network.sender(name),
              service -> {},
              1);
      network.connect(name, (from, message) -> pool.handle(from, (InstanceActivity) message));
      pool.update(List.of(instances));
      pools.add(pool);
    }
  }

  private static Instance instance(String name, String domain) {
    return instance(name, domain, SLOTS);
  }

  private static Instance instance(String name, String domain, int slots) {
    return new Instance(
        new InstanceId(name),
        SERVICE,
        new SocketEndpoint("127.0.0.1", 6_000),
        new FailureDomain(domain),
        false,
        slots,
        0,
        Optional.empty());
  }

  private SlotRequirements requirements(boolean retryable) {
    return new SlotRequirements(Set.of(), retryable, Deadline.after(clock, Duration.ofSeconds(1)));
  }

  private Optional<Reservation> reserve(int vm, boolean retryable) {
    return pools.get(vm).reserve(SERVICE, requirements(retryable));
  }

  private void end(int vm, Reservation reservation, AttemptOutcome.Kind kind) {
    Duration latency = Duration.ofNanos(clock.monotonicNanos() - reservation.startedNanos());
    pools
        .get(vm)
        .recordOutcome(SERVICE, reservation.instance().id(), new AttemptOutcome(kind, latency));
    pools.get(vm).release(reservation);
  }

  private void serveRequests(int rounds) {
    for (int i = 0; i < rounds; i++) {
      int vm = i % pools.size();
      Optional<Reservation> reserved = reserve(vm, true);
      scheduler.advance(WORK);
      reserved.ifPresent(slot -> end(vm, slot, AttemptOutcome.Kind.SUCCESS));
      scheduler.advance(Duration.ofMillis(20));
    }
  }

  /**
   * VMs that do not share their attempts in flight would reserve the same slots several times over.
   */
  @ParameterizedTest
  @ValueSource(ints = {2, 5, 12})
  void fleetNeverReservesMoreThanTheSlotsOfAnInstance(int vms) {
    startFleet(vms, instance("rota-1", "a"), instance("rota-2", "a"));
    int granted = 0;
    for (int i = 0; i < 10 * vms; i++) {
      granted += reserve(i % vms, true).isPresent() ? 1 : 0;
      scheduler.advance(Duration.ofMillis(20));
    }
    assertEquals(2 * SLOTS, granted);
  }

  /** Requests must avoid a hanging instance before the attempts at it time out. */
  @Test
  void pendingAttemptCountsAsFailureEvidence() {
    startFleet(4, instance("rota-1", "a"), instance("rota-2", "a"), instance("rota-3", "a"));
    serveRequests(30);
    Reservation hanging = reserve(0, false).orElseThrow();
    scheduler.advance(Duration.ofMillis(900));
    for (int i = 0; i < 20; i++) {
      int vm = 1 + i % 3;
      Optional<Reservation> slot = reserve(vm, false);
      assertTrue(slot.isPresent());
      assertTrue(!slot.get().instance().id().equals(hanging.instance().id()));
      scheduler.advance(WORK);
      end(vm, slot.get(), AttemptOutcome.Kind.SUCCESS);
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.Kind.class,
      names = {"SERVER_ERROR", "TIMED_OUT", "CONNECTION_LOST", "ANSWER_INVALID"})
  void failureSeenByOneVmDivertsRequestsOfOtherVms(AttemptOutcome.Kind kind) {
    startFleet(3, instance("rota-1", "a"), instance("rota-2", "a"));
    serveRequests(20);
    Reservation failing = reserve(0, false).orElseThrow();
    // An attempt that is abandoned after 50 ms is no evidence, so a time-out needs a longer
    // attempt.
    scheduler.advance(Duration.ofMillis(kind == AttemptOutcome.Kind.TIMED_OUT ? 900 : 50));
    end(0, failing, kind);
    scheduler.advance(Duration.ofMillis(50));
    Reservation next = reserve(1, false).orElseThrow();
    assertTrue(!next.instance().id().equals(failing.instance().id()));
  }

  /**
   * An attempt that is abandoned early in favor of a retry is weak evidence. Counting it as a
   * failure diverted requests from healthy instances.
   */
  @ParameterizedTest
  @CsvSource({"150, ELIGIBLE", "200, ELIGIBLE", "1200, TRIAL"})
  void evidenceOfAbandonedAttemptDependsOnItsDuration(long millis, Eligibility expected) {
    startFleet(2, instance("rota-1", "a"), instance("rota-2", "a"));
    serveRequests(60);
    Reservation abandoned = reserve(0, true).orElseThrow();
    scheduler.advance(Duration.ofMillis(millis));
    end(0, abandoned, AttemptOutcome.Kind.TIMED_OUT);
    assertEquals(expected, pools.get(0).eligibility(SERVICE, abandoned.instance().id()));
  }

  /** Without exploration, an instance that has recovered would remain unused. */
  @Test
  void retryableRequestsDetectRecoveredInstance() {
    startFleet(2, instance("rota-1", "a"), instance("rota-2", "a"));
    serveRequests(10);
    Reservation failing = reserve(0, false).orElseThrow();
    end(0, failing, AttemptOutcome.Kind.CONNECTION_LOST);
    Set<InstanceId> used = new java.util.HashSet<>();
    for (int i = 0; i < 40; i++) {
      int vm = i % 2;
      Optional<Reservation> slot = reserve(vm, true);
      scheduler.advance(WORK);
      slot.ifPresent(
          taken -> {
            used.add(taken.instance().id());
            end(vm, taken, AttemptOutcome.Kind.SUCCESS);
          });
    }
    assertTrue(used.contains(failing.instance().id()));
  }

  /** A broken network path of one VM must not divert the requests of all other VMs. */
  @Test
  void networkPathFaultOfOneVmDoesNotBlameTheInstance() {
    startFleet(5, instance("rota-1", "a"), instance("rota-2", "a"));
    serveRequests(20);
    InstanceId unreachable = new InstanceId("rota-1");
    for (int i = 0; i < 40; i++) {
      pools
          .get(0)
          .recordOutcome(
              SERVICE,
              unreachable,
              new AttemptOutcome(AttemptOutcome.Kind.CONNECT_FAILED, Duration.ZERO));
      for (int vm = 1; vm < 5; vm++) {
        Optional<Reservation> slot = reserve(vm, false);
        scheduler.advance(Duration.ofMillis(40));
        if (slot.isPresent()) {
          end(vm, slot.get(), AttemptOutcome.Kind.SUCCESS);
        }
      }
    }
    assertEquals("rota-2", reserve(0, false).orElseThrow().instance().id().value());
    long reservationsOnUnreachable =
        IntStream.range(0, 40)
            .mapToObj(i -> reserve(1 + i % 4, false))
            .flatMap(Optional::stream)
            .filter(slot -> slot.instance().id().equals(unreachable))
            .count();
    assertTrue(reservationsOnUnreachable > 0);
  }

  @Test
  void healthyInstancesOfOwnDomainArePreferred() {
    startFleet(1, instance("rota-1", "a"), instance("rota-2", "b"), instance("rota-3", "b"));
    serveRequests(30);
    assertEquals("rota-1", reserve(0, false).orElseThrow().instance().id().value());
  }

  @Test
  void leavingInstancesGetNoRequests() {
    startFleet(1, instance("rota-1", "a"));
    pools.get(0).markLeaving(SERVICE, new InstanceId("rota-1"));
    assertTrue(reserve(0, true).isEmpty());
    assertTrue(!pools.get(0).hasInstance(SERVICE));
  }

  /** A response from another process at the address must not exclude the instance for good. */
  @Test
  void instanceThatRemainsListedIsUsedAgain() {
    startFleet(1, instance("rota-1", "a"));
    pools.get(0).markMisdirected(SERVICE, new InstanceId("rota-1"));
    scheduler.advance(Duration.ofSeconds(4));
    assertTrue(reserve(0, true).isEmpty());
    scheduler.advance(Duration.ofSeconds(2));
    assertTrue(reserve(0, true).isPresent());
  }

  /**
   * An instance that has announced its leaving must get nothing, whatever the list says of it; a
   * process that starts again under its name is another instance.
   */
  @ParameterizedTest
  @CsvSource({"true, 1, false", "false, 1, false", "true, 2, true", "false, 2, true"})
  void announcedLeavingOutlastsTheList(boolean staysListed, long incarnation, boolean isUsed) {
    startFleet(1, process("rota-1", 1));
    InstanceId leaving = new InstanceId("rota-1");
    assertTrue(pools.get(0).markLeaving(SERVICE, leaving));
    assertFalse(pools.get(0).markLeaving(SERVICE, leaving));
    scheduler.advance(Duration.ofSeconds(60));
    if (!staysListed) {
      pools.get(0).update(List.of());
    }
    pools.get(0).update(List.of(process("rota-1", incarnation)));
    assertEquals(isUsed, reserve(0, true).isPresent());
    assertEquals(isUsed, pools.get(0).hasInstance(SERVICE));
  }

  private static Instance process(String id, long incarnation) {
    return new Instance(
        new InstanceId(id),
        SERVICE,
        new SocketEndpoint("127.0.0.1", 6001),
        new FailureDomain("a"),
        false,
        2,
        incarnation,
        Optional.empty());
  }

  /** A later and shorter time must not bring requests to an instance that wants none. */
  @ParameterizedTest
  @CsvSource({"2000, 500, 1999, false", "2000, 500, 2000, true", "500, 2000, 1999, false"})
  void instanceIsAvoidedUntilTheLatestTime(
      long firstMillis, long secondMillis, long elapsedMillis, boolean isUsed) {
    startFleet(1, instance("rota-1", "a"));
    for (long millis : List.of(firstMillis, secondMillis)) {
      pools
          .get(0)
          .avoidUntil(
              SERVICE, new InstanceId("rota-1"), Deadline.after(clock, Duration.ofMillis(millis)));
    }
    scheduler.advance(Duration.ofMillis(elapsedMillis));
    assertEquals(isUsed, reserve(0, true).isPresent());
  }

  /** A VM that was killed must not occupy slots permanently. */
  @Test
  void attemptsOfUnreachableVmsExpire() {
    startFleet(2, instance("rota-1", "a"));
    reserve(0, true);
    reserve(0, true);
    scheduler.advance(Duration.ofMillis(50));
    assertTrue(reserve(1, true).isEmpty());
    vmIds.forEach(name -> network.setBlocked(vmIds.get(0), name, true));
    scheduler.advance(Duration.ofSeconds(2));
    assertTrue(reserve(1, true).isPresent());
  }

  /**
   * In a large failure domain, sending every attempt to every VM grows with the square of the
   * number of VMs and took most of the CPU time of a small VM.
   */
  @ParameterizedTest
  @CsvSource({"7, 19, 7", "28, 75, 3", "56, 150, 3"})
  void messagesPerAttemptDoNotGrowWithTheFleet(int vms, int instances, int receivers) {
    startLargeDomain(vms, instances);
    long before = network.messagesSent();
    for (int i = 0; i < 100; i++) {
      int vm = i % vms;
      Reservation slot = reserve(vm, false).orElseThrow();
      scheduler.advance(WORK);
      end(vm, slot, AttemptOutcome.Kind.SUCCESS);
      scheduler.advance(Duration.ofMillis(50));
    }
    // One message at the start of an attempt and one at its end, to each other VM that the instance
    // is assigned to.
    long perAttempt = (network.messagesSent() - before) / 100;
    assertTrue(perAttempt <= 2 * (receivers - 1) + 1, () -> perAttempt + " messages an attempt");
  }

  /**
   * The start of an attempt is sent at once only if other VMs need it in order not to exceed the
   * slots; otherwise one message tells start and outcome of a short attempt.
   */
  @ParameterizedTest(name = "{0} slots")
  @CsvSource({"2, 2", "8, 1"})
  void startOfAttemptIsSentAtOnceOnlyIfInstanceIsHalfFull(int slots, int messagesPerAttempt) {
    startFleet(2, instance("rota-1", "a", slots));
    long before = network.messagesSent();
    for (int i = 0; i < 50; i++) {
      Reservation slot = reserve(0, false).orElseThrow();
      scheduler.advance(WORK);
      end(0, slot, AttemptOutcome.Kind.SUCCESS);
      scheduler.advance(Duration.ofMillis(50));
    }
    assertEquals(messagesPerAttempt, Math.round((network.messagesSent() - before) / 50.0));
  }

  /**
   * Guards against a new connection for nearly every second request: a VM with few requests prefers
   * the instances that it used last, but still uses them all in turn once the idle connections have
   * expired.
   */
  @ParameterizedTest(name = "pause of {0} ms")
  @CsvSource({"300, 6", "7000, 12"})
  void instancesWithOpenConnectionsArePreferred(int pauseMillis, int mostInstances) {
    startFleet(
        1,
        IntStream.range(0, 12)
            .mapToObj(i -> instance("rota-" + i, "a", 8))
            .toArray(Instance[]::new));
    Set<InstanceId> used = new java.util.HashSet<>();
    for (int i = 0; i < 100; i++) {
      Reservation slot = reserve(0, false).orElseThrow();
      used.add(slot.instance().id());
      scheduler.advance(WORK);
      end(0, slot, AttemptOutcome.Kind.SUCCESS);
      scheduler.advance(Duration.ofMillis(pauseMillis));
    }
    assertTrue(used.size() <= mostInstances, used::toString);
    assertTrue(pauseMillis < 6_000 || used.size() == mostInstances, used::toString);
  }

  /**
   * In a large failure domain, a VM that uses every instance reaches each one so rarely that its
   * idle connections have expired.
   */
  @Test
  void vmUsesSmallSubsetOfInstances() {
    startLargeDomain(28, 75);
    Set<InstanceId> used = new java.util.HashSet<>();
    for (int i = 0; i < 200; i++) {
      Reservation slot = reserve(5, false).orElseThrow();
      scheduler.advance(WORK);
      end(5, slot, AttemptOutcome.Kind.SUCCESS);
      used.add(slot.instance().id());
    }
    assertTrue(used.size() <= 16, used::toString);
  }

  /**
   * When most callers connect to one VM, it must not refuse requests while instances outside its
   * subset are idle.
   */
  @Test
  void busyVmUsesInstancesOutsideItsSubset() {
    startLargeDomain(28, 75);
    long granted =
        IntStream.range(0, 100)
            .mapToObj(
                i -> {
                  scheduler.advance(Duration.ofMillis(1));
                  return reserve(5, true);
                })
            .flatMap(Optional::stream)
            .count();
    assertEquals(100, granted);
  }

  private void startLargeDomain(int vms, int instances) {
    startFleet(
        vms,
        IntStream.range(0, instances)
            .mapToObj(i -> instance("rota-" + i, "a"))
            .toArray(Instance[]::new));
    // A VM reads its peers when it first sends a message, so each one makes an attempt.
    IntStream.range(0, vms)
        .forEach(
            vm -> {
              Reservation first = reserve(vm, true).orElseThrow();
              scheduler.advance(WORK);
              end(vm, first, AttemptOutcome.Kind.SUCCESS);
            });
    scheduler.advance(Duration.ofSeconds(2));
  }
}
