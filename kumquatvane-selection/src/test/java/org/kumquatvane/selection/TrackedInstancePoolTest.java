package org.kumquatvane.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.EjectionProfile;
import org.kumquatvane.document.EjectionSettings;
import org.kumquatvane.document.FleetPolicy;
import org.kumquatvane.document.InstanceCapacity;
import org.kumquatvane.document.LimitMechanism;
import org.kumquatvane.document.QueuePolicy;
import org.kumquatvane.document.RetryMode;
import org.kumquatvane.document.RetrySettings;
import org.kumquatvane.document.SelectionMode;
import org.kumquatvane.document.Service;
import org.kumquatvane.ejection.AttemptOutcome;
import org.kumquatvane.ejection.Eligibility;
import org.kumquatvane.ejection.InstanceHealth;
import org.kumquatvane.testing.FailingInvariantMonitor;
import org.kumquatvane.testing.SimulatedClock;

/**
 * Guards against requests to leaving, ejected, full or cold instances and against starving
 * instances.
 */
class TrackedInstancePoolTest {
  private static final ServiceName ROTA = new ServiceName("rota");
  private static final Duration WARM_UP = Duration.ofSeconds(30);
  private static final int SLOTS = 3;

  private final SimulatedClock clock = new SimulatedClock();
  private final Map<InstanceId, Eligibility> ejected = new HashMap<>();
  private final Set<InstanceId> reportedLeaving = new HashSet<>();
  private double localPreference;

  private final InstanceHealth health =
      new InstanceHealth() {
        @Override
        public Eligibility eligibility(ServiceName service, InstanceId instance) {
          return ejected.getOrDefault(instance, Eligibility.ELIGIBLE);
        }

        @Override
        public void recordOutcome(
            ServiceName service, InstanceId instance, AttemptOutcome observation) {}

        @Override
        public void instanceLeaving(ServiceName service, InstanceId instance) {
          reportedLeaving.add(instance);
        }
      };

  private TrackedInstancePool pool(SelectionMode mode) {
    TrackedInstancePool pool =
        new TrackedInstancePool(
            clock,
            health,
            unused ->
                mode == SelectionMode.ROUND_ROBIN
                    ? new RoundRobinSelection()
                    : new TwoChoicesSelection(
                        RandomSource.XO_RO_SHI_RO_128_PP.create(1), localPreference),
            () -> new AdaptiveSlotLimit(clock),
            new FailingInvariantMonitor(),
            new FailureDomain("d0"));
    Service service =
        new Service(
            ROTA,
            new InstanceCapacity(SLOTS, 350, WARM_UP),
            new QueuePolicy(10, 10),
            mode,
            new EjectionSettings(
                EjectionProfile.FAST, 50, Duration.ofSeconds(10), Duration.ofMinutes(1)),
            new RetrySettings(RetryMode.NONE, 1, 0, Duration.ZERO));
    pool.documentInForce(
        new Document(
            1,
            "digest",
            new FleetPolicy(50, LimitMechanism.STATIC_DIVISION),
            List.of(),
            List.of(service),
            List.of()));
    return pool;
  }

  private static List<Instance> instances(int count) {
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      instances.add(
          new Instance(
              id(i),
              ROTA,
              new SocketEndpoint("127.0.0.1", 6000 + i),
              new FailureDomain("d" + i % 3),
              false));
    }
    return instances;
  }

  private static InstanceId id(int number) {
    return new InstanceId("r" + number);
  }

  /** Reserves and releases one slot repeatedly and counts the reservations of each instance. */
  private static Map<InstanceId, Integer> countSelections(TrackedInstancePool pool, int times) {
    Map<InstanceId, Integer> counts = new HashMap<>();
    for (int i = 0; i < times; i++) {
      Reservation reservation = pool.reserve(ROTA, Set.of()).orElseThrow();
      counts.merge(reservation.instance().id(), 1, Integer::sum);
      pool.release(reservation);
    }
    return counts;
  }

  @ParameterizedTest
  @EnumSource(SelectionMode.class)
  void reservesEverySlotExactlyOnce(SelectionMode mode) {
    TrackedInstancePool pool = pool(mode);
    pool.update(instances(6));
    for (int i = 0; i < 6 * SLOTS; i++) {
      assertTrue(pool.reserve(ROTA, Set.of()).isPresent());
    }
    assertEquals(Optional.empty(), pool.reserve(ROTA, Set.of()));
    assertTrue(pool.status().stream().allMatch(status -> status.slotsInUse() == SLOTS));
  }

  @ParameterizedTest
  @EnumSource(SelectionMode.class)
  void avoidsLeavingEjectedAndExcludedInstances(SelectionMode mode) {
    TrackedInstancePool pool = pool(mode);
    pool.update(instances(4));
    pool.markLeaving(ROTA, id(0));
    ejected.put(id(1), Eligibility.EJECTED);
    for (int i = 0; i < SLOTS; i++) {
      assertEquals(id(3), pool.reserve(ROTA, Set.of(id(2))).orElseThrow().instance().id());
    }
    assertEquals(Optional.empty(), pool.reserve(ROTA, Set.of(id(2))));
    assertEquals(Set.of(id(0)), reportedLeaving);
  }

  @Test
  void sendsOnlyOneConcurrentTrial() {
    TrackedInstancePool pool = pool(SelectionMode.TWO_CHOICES);
    pool.update(instances(3));
    ejected.put(id(1), Eligibility.TRIAL);
    Reservation trial = pool.reserve(ROTA, Set.of()).orElseThrow();
    assertTrue(trial.trial());
    assertEquals(id(1), trial.instance().id());
    assertFalse(pool.reserve(ROTA, Set.of()).orElseThrow().trial());
  }

  @Test
  void onlyInstancesAddedAfterTheFirstListWarmUp() {
    TrackedInstancePool pool = pool(SelectionMode.TWO_CHOICES);
    pool.update(instances(5));
    countSelections(pool, 3_000).values().forEach(count -> assertEquals(600, count, 120));
    pool.update(instances(6));
    assertTrue(
        countSelections(pool, 6_000).getOrDefault(id(5), 0) < 250,
        "a cold instance gets a tenth of the share of a warm one");
    clock.advance(WARM_UP);
    assertEquals(1_000, countSelections(pool, 6_000).getOrDefault(id(5), 0), 200);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.5, 1})
  void localInstancesArePreferredWithoutStarvingRemoteOnes(double preference) {
    localPreference = preference;
    TrackedInstancePool pool = pool(SelectionMode.TWO_CHOICES);
    pool.update(instances(9));
    Map<InstanceId, Integer> counts = countSelections(pool, 9_000);
    assertTrue(counts.getOrDefault(id(0), 0) > 1_150, "local=" + counts.get(id(0)));
    assertTrue(counts.getOrDefault(id(1), 0) > 500, "remote=" + counts.get(id(1)));
  }

  @Test
  void sheddingLowersTheSlotLimitAndSuccessRaisesItAgain() {
    TrackedInstancePool pool = pool(SelectionMode.TWO_CHOICES);
    pool.update(instances(6));
    List<Reservation> reservations = reserveAllSlots(pool);
    assertEquals(6 * SLOTS, reservations.size());
    reservations.forEach(pool::releaseShed);
    reservations = reserveAllSlots(pool);
    assertEquals(15, reservations.size(), "simultaneous sheds lower the limit once");
    for (int attempt = 0; attempt < 100; attempt++) {
      pool.release(reservations.remove(0));
      reservations.addAll(reserveAllSlots(pool));
    }
    assertEquals(6 * SLOTS, reservations.size());
  }

  private static List<Reservation> reserveAllSlots(TrackedInstancePool pool) {
    List<Reservation> reservations = new ArrayList<>();
    Optional<Reservation> next;
    while ((next = pool.reserve(ROTA, Set.of())).isPresent()) {
      reservations.add(next.get());
    }
    return reservations;
  }

  @Test
  void usesRemoteInstancesWhenLocalOnesAreBusy() {
    localPreference = 1;
    TrackedInstancePool pool = pool(SelectionMode.TWO_CHOICES);
    pool.update(instances(9));
    Map<InstanceId, Integer> counts = new HashMap<>();
    for (int i = 0; i < 9; i++) {
      counts.merge(pool.reserve(ROTA, Set.of()).orElseThrow().instance().id(), 1, Integer::sum);
    }
    assertTrue(counts.size() >= 6, "nine requests at once spread over " + counts.size());
  }
}
