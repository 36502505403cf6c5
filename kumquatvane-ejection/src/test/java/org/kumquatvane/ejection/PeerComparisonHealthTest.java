package org.kumquatvane.ejection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.kumquatvane.document.EjectionProfile;

/** Guards against gray instances that stay in use and against good ones that are ejected. */
class PeerComparisonHealthTest {
  private static final Duration MINUTE = Duration.ofMinutes(1);

  @ParameterizedTest(name = "{0}: {1} of {2} instances fail {3} in 10 and are slow by {4}")
  @CsvSource({
    "FAST, 1, 6, 10, 1",
    "FAST, 1, 25, 2, 1",
    "FAST, 2, 25, 0, 3",
    "FAST, 1, 6, 0, 10",
    "CAUTIOUS, 1, 6, 10, 1",
    "CAUTIOUS, 1, 6, 2, 1",
    "CAUTIOUS, 1, 20, 0, 3"
  })
  void ejectsTheBadInstancesOnly(
      EjectionProfile profile, int bad, int instances, int failuresInTen, double slowness) {
    HealthFleet fleet = new HealthFleet(10, profile, 60, 7);
    fleet.list(instances);
    fleet.run(MINUTE, instances, 20, (vm, instance) -> fleet.answer(1));
    assertEquals(0, fleet.ejections());
    // A partial fault may pass the trials, so that what counts is whether each VM ejected in time.
    Set<String> ejected = new TreeSet<>();
    for (int second = 0; second < 40; second++) {
      fleet.run(
          Duration.ofSeconds(1),
          instances,
          20,
          (vm, instance) ->
              instance < bad && fleet.random.nextInt(10) < failuresInTen
                  ? HealthFleet.timeout()
                  : fleet.answer(instance < bad ? slowness : 1));
      fleet.addEjected(instances, ejected);
    }
    Set<String> expected = new TreeSet<>();
    for (int vm = 0; vm < fleet.vms.size(); vm++) {
      for (int instance = 0; instance < bad; instance++) {
        expected.add("vm " + vm + " instance " + instance);
      }
    }
    assertEquals(expected, ejected);
  }

  @ParameterizedTest
  @EnumSource(names = {"FAST", "CAUTIOUS"})
  void ejectsNoneWhenAllLookBad(EjectionProfile profile) {
    HealthFleet fleet = new HealthFleet(5, profile, 0, 3);
    fleet.list(6);
    fleet.run(MINUTE, 6, 20, (vm, instance) -> fleet.answer(1));
    fleet.run(MINUTE, 6, 20, (vm, instance) -> fleet.answer(10));
    fleet.run(
        MINUTE,
        6,
        20,
        (vm, instance) -> fleet.random.nextInt(10) < 7 ? HealthFleet.timeout() : fleet.answer(1));
    assertEquals(0, fleet.ejections());
  }

  @ParameterizedTest(name = "{0}: the path of one VM to {1} of 24 instances, slow by {2}")
  @CsvSource({"FAST, 8, 0", "CAUTIOUS, 8, 0", "FAST, 24, 0", "FAST, 8, 10", "CAUTIOUS, 8, 10"})
  void badPathOfOneVmEjectsNothing(EjectionProfile profile, int reach, double slowness) {
    HealthFleet fleet = new HealthFleet(10, profile, 60, 11);
    fleet.list(24);
    fleet.run(MINUTE, 24, 30, (vm, instance) -> fleet.answer(1));
    fleet.run(
        MINUTE,
        24,
        30,
        (vm, instance) -> {
          boolean affected = vm == 0 && instance < reach;
          return affected && slowness == 0
              ? HealthFleet.timeout()
              : fleet.answer(affected ? slowness : 1);
        });
    assertEquals(0, fleet.ejections());
  }

  @ParameterizedTest
  @EnumSource(names = {"SHED", "CANCELLED"})
  void shedAndCancelledAttemptsAreNoEvidence(Observation.Kind kind) {
    HealthFleet fleet = new HealthFleet(3, EjectionProfile.FAST, 50, 5);
    fleet.list(6);
    fleet.run(
        MINUTE,
        6,
        20,
        (vm, instance) ->
            instance == 0 ? new Observation(kind, Duration.ofMillis(500)) : fleet.answer(1));
    assertEquals(0, fleet.ejections());
  }

  @Test
  void timeoutsOfCallersThatAllowLittleTimeAreNoEvidence() {
    HealthFleet fleet = new HealthFleet(5, EjectionProfile.FAST, 50, 5);
    fleet.list(6);
    fleet.run(MINUTE, 6, 20, (vm, instance) -> fleet.answer(1));
    Observation tooEarly = new Observation(Observation.Kind.TIMED_OUT, Duration.ofMillis(15));
    fleet.run(MINUTE, 6, 20, (vm, instance) -> instance == 0 ? tooEarly : fleet.answer(1));
    assertEquals(0, fleet.ejections());
  }

  @Test
  void coldAndLeavingInstancesAreNoEvidence() {
    HealthFleet fleet = new HealthFleet(3, EjectionProfile.FAST, 50, 5);
    fleet.list(5);
    fleet.list(6, 1);
    fleet.run(
        HealthFleet.WARM_UP.minusSeconds(1),
        7,
        20,
        (vm, instance) -> fleet.answer(instance < 5 ? 1 : 10));
    // What was seen during the warm-up must not count once it is over.
    fleet.run(Duration.ofSeconds(5), 7, 20, (vm, instance) -> fleet.answer(1));
    assertEquals(0, fleet.ejections());
  }

  @ParameterizedTest(name = "{0} VMs eject at most {2} of {1} above a floor of {3} %")
  @CsvSource({"1, 6, 2, 60", "10, 6, 2, 60", "10, 25, 5, 80", "4, 6, 0, 100"})
  void floorLimitsEjectionsOfAllVmsTogether(int vms, int instances, int allowed, int floor) {
    HealthFleet fleet = new HealthFleet(vms, EjectionProfile.FAST, floor, 13);
    fleet.list(instances);
    int bad = instances / 2;
    fleet.run(
        MINUTE,
        instances,
        30,
        (vm, instance) -> instance < bad ? HealthFleet.timeout() : fleet.answer(1));
    long ejectedAnywhere = 0;
    for (int instance = 0; instance < instances; instance++) {
      boolean isEjected = false;
      for (int vm = 0; vm < vms; vm++) {
        isEjected |= fleet.isEjected(vm, instance);
      }
      ejectedAnywhere += isEjected ? 1 : 0;
    }
    assertEquals(allowed, ejectedAnywhere);
  }

  @Test
  void leavingInstancesReverseEjections() {
    HealthFleet fleet = new HealthFleet(2, EjectionProfile.FAST, 60, 17);
    fleet.list(10);
    fleet.run(
        MINUTE, 10, 30, (vm, instance) -> instance < 3 ? HealthFleet.timeout() : fleet.answer(1));
    assertTrue(fleet.isEjected(0, 0) && fleet.isEjected(0, 1) && fleet.isEjected(0, 2));
    fleet.list(5, 5);
    long stillEjected = 0;
    for (int instance = 0; instance < 3; instance++) {
      stillEjected += fleet.isEjected(0, instance) ? 1 : 0;
    }
    assertEquals(2, stillEjected);
  }

  @Test
  void instanceReturnsThroughGoodTrialsAndStaysOutLongerAfterBadOnes() {
    HealthFleet fleet = new HealthFleet(1, EjectionProfile.FAST, 60, 19);
    fleet.list(6);
    HealthFleet.Behaviour bad =
        (vm, instance) -> instance == 0 ? HealthFleet.timeout() : fleet.answer(1);
    fleet.run(Duration.ofSeconds(10), 6, 20, (vm, instance) -> fleet.answer(1));
    fleet.run(Duration.ofSeconds(8), 6, 20, bad);
    assertTrue(fleet.isEjected(0, 0));
    fleet.run(HealthFleet.BASE_EJECTION.plusSeconds(2), 6, 20, bad);
    assertEquals(1, fleet.counters.value("ejection.ejection_prolonged"));
    fleet.run(HealthFleet.BASE_EJECTION, 6, 20, (vm, instance) -> fleet.answer(1));
    assertTrue(fleet.isEjected(0, 0), "the second ejection lasts twice as long");
    fleet.run(HealthFleet.BASE_EJECTION.plusSeconds(5), 6, 20, (vm, instance) -> fleet.answer(1));
    assertFalse(fleet.isEjected(0, 0));
  }

  @Test
  void evidenceStaysWithinItsBytes() {
    HealthFleet fleet = new HealthFleet(40, EjectionProfile.FAST, 60, 23);
    fleet.list(25);
    fleet.run(
        Duration.ofSeconds(20),
        25,
        20,
        (vm, instance) -> instance < 5 ? HealthFleet.timeout() : fleet.answer(1));
    // 1,500 bytes a second for each VM; the smallest message with an entry has 64 bytes.
    assertTrue(fleet.network.messagesSent() < 40 * 21 * (1_500 / 24));
  }
}
