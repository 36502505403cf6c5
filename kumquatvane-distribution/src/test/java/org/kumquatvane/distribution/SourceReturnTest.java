package org.kumquatvane.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against VMs that ignore changes after the source has returned from an older copy, and
 * against VMs that take the copy at its word.
 */
class SourceReturnTest {
  private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(2);

  /** Time after which the source counts as stable. */
  private static final Duration CALM = Duration.ofSeconds(3);

  /** Time for which items from before the return are kept, and a tick. */
  private static final Duration RETENTION = Duration.ofSeconds(7);

  private static FeedFleet startFleet(int vms) {
    FeedFleet fleet = new FeedFleet(vms);
    fleet.source.put("config", "1");
    fleet.source.put("servers/a", "1");
    fleet.source.put("servers/b", "1");
    fleet.advance(CALM);
    return fleet;
  }

  private static void assertFollowsSource(FeedFleet fleet) {
    for (Replica replica : fleet.replicas) {
      assertEquals(fleet.source.values(), replica.values);
      assertEquals(0, replica.configurationRegressions);
    }
  }

  private static void returnToCopy(FeedFleet fleet, SimulatedSource.Copy copy, Duration away) {
    fleet.setSourceAway(true);
    fleet.advance(away);
    fleet.source.returnTo(copy);
    fleet.setSourceAway(false);
  }

  /** Fewer or more writes after the return than were lost; the latter end no watch. */
  @ParameterizedTest
  @CsvSource({
    "1, 9, 1, 0, true, false",
    "4, 9, 1, 0, true, false",
    "12, 9, 1, 0, true, false",
    "4, 9, 1, 2000, true, false",
    "4, 9, 30, 0, true, false",
    "4, 9, 30, 2000, true, false",
    "12, 1, 30, 2000, true, true",
    "4, 9, 1, 2000, true, true",
    "1, 9, 1, 2000, false, false",
    "4, 9, 1, 2000, false, false"
  })
  void changesAfterReturnReachAllVms(
      int vms, int lost, int written, int awayMillis, boolean tellsEra, boolean pages) {
    FeedFleet fleet = startFleet(vms);
    fleet.source.tellsEra = tellsEra;
    fleet.source.sendsPartialSnapshot = pages;
    SimulatedSource.Copy copy = fleet.source.copy();
    for (int i = 0; i < lost; i++) {
      fleet.source.put("servers/lost-" + i, "1");
    }
    fleet.advance(CALM);
    returnToCopy(fleet, copy, Duration.ofMillis(awayMillis));
    for (int i = 0; i < written; i++) {
      fleet.source.put("servers/new-" + i, "1");
    }
    fleet.advance(CALM);
    fleet.source.put("config", "2");
    fleet.source.remove("servers/a");
    fleet.advance(PROPAGATION_LIMIT);
    assertFollowsSource(fleet);
  }

  /**
   * What the copy has lost is kept: the configuration until its writer goes on from it, the state
   * of instances until they write again or for a limited time.
   */
  @ParameterizedTest
  @CsvSource({"1, false", "4, false", "4, true", "12, true"})
  void nothingGoesBackUntilItIsWrittenAgain(int vms, boolean restarts) {
    FeedFleet fleet = startFleet(vms);
    SimulatedSource.Copy copy = fleet.source.copy();
    fleet.source.put("config", "5");
    fleet.source.put("servers/a", "2");
    fleet.source.remove("servers/b");
    fleet.advance(CALM);
    returnToCopy(fleet, copy, Duration.ofSeconds(1));
    fleet.advance(Duration.ofSeconds(2));
    if (restarts) {
      fleet.restart(vms - 1);
      fleet.advance(Duration.ofSeconds(1));
    }
    for (Replica replica : fleet.replicas) {
      assertEquals(
          Map.of("config", "5", "servers/a", "2"),
          replica.values,
          "VM " + fleet.replicas.indexOf(replica));
      assertEquals(0, replica.regressions);
    }
    fleet.source.put("servers/b", "3");
    fleet.source.put("config", "4");
    fleet.advance(PROPAGATION_LIMIT);
    for (Replica replica : fleet.replicas) {
      assertEquals(Map.of("config", "5", "servers/a", "2", "servers/b", "3"), replica.values);
    }
    fleet.advance(RETENTION);
    for (Replica replica : fleet.replicas) {
      assertEquals(Map.of("config", "5", "servers/a", "1", "servers/b", "3"), replica.values);
    }
    fleet.source.put("config", "5");
    fleet.source.put("servers/a", "2");
    fleet.advance(PROPAGATION_LIMIT);
    assertFollowsSource(fleet);
  }

  /** Live instances that the copy lacks are reported as lost in a recovery, not as removed. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4})
  void entriesThatCopyLacksCountAsLostInRecovery(int vms) {
    FeedFleet fleet = startFleet(vms);
    SimulatedSource.Copy copy = fleet.source.copy();
    fleet.source.put("servers/new", "1");
    fleet.advance(CALM);
    fleet.replicas.forEach(replica -> replica.sawRecovery = false);
    returnToCopy(fleet, copy, Duration.ZERO);
    fleet.advance(Duration.ofSeconds(1));
    fleet.replicas.forEach(replica -> assertTrue(replica.sawRecovery));
    assertFollowsSource(fleet);
  }

  /** Each VM that reads the source does so once for a return. */
  @ParameterizedTest
  @ValueSource(ints = {4, 12})
  void readersReadOnceForReturn(int vms) {
    FeedFleet fleet = startFleet(vms);
    SimulatedSource.Copy copy = fleet.source.copy();
    fleet.source.put("servers/new", "1");
    fleet.advance(CALM);
    int before = fleet.source.reads;
    returnToCopy(fleet, copy, Duration.ZERO);
    fleet.advance(CALM);
    assertEquals(1, fleet.source.reads - before);
    assertEquals(vms, fleet.counters.value("source.era_changes"));
  }

  /** Two returns, some VMs cut off from the source or from the other VMs, and restarts between. */
  @ParameterizedTest
  @CsvSource({
    "0, true, false",
    "300, true, false",
    "300, false, true",
    "1500, true, true",
    "2500, false, false"
  })
  void followsSourceAfterTwoReturns(int gapMillis, boolean cutsSource, boolean restarts) {
    FeedFleet fleet = startFleet(6);
    SimulatedSource.Copy copy = fleet.source.copy();
    fleet.source.put("config", "3");
    fleet.advance(CALM);
    for (int vm = 0; vm < 3; vm++) {
      if (cutsSource) {
        fleet.cutOffFromSource(vm, true);
      } else {
        fleet.cutOffFromPeers(vm, true);
      }
    }
    fleet.source.returnTo(copy);
    fleet.advance(Duration.ofMillis(gapMillis));
    if (restarts) {
      fleet.restart(1);
      fleet.restart(4);
    }
    fleet.source.put("servers/c", "1");
    fleet.source.returnTo(copy);
    fleet.source.put("servers/d", "1");
    fleet.advance(Duration.ofMillis(gapMillis));
    for (int vm = 0; vm < 3; vm++) {
      fleet.cutOffFromSource(vm, false);
      fleet.cutOffFromPeers(vm, false);
    }
    fleet.advance(CALM);
    fleet.source.put("config", "4");
    fleet.advance(PROPAGATION_LIMIT);
    assertFollowsSource(fleet);
  }

  /** A source that returns from a copy without raising its era must still be followed. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4})
  void followsSourceThatDoesNotRaiseItsEra(int vms) {
    FeedFleet fleet = startFleet(vms);
    SimulatedSource.Copy copy = fleet.source.copy();
    for (int i = 0; i < 9; i++) {
      fleet.source.put("servers/lost-" + i, "1");
    }
    fleet.advance(CALM);
    fleet.source.returnTo(copy);
    fleet.source.era--;
    fleet.advance(CALM.plus(CALM));
    fleet.source.put("config", "2");
    fleet.advance(PROPAGATION_LIMIT);
    assertFollowsSource(fleet);
    assertEquals(new SourcePosition(0, fleet.source.revision), fleet.status(0).position());
  }

  /** Responses with an era that is none, or not the source's, must not stop a VM from following. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "-1",
        "-1,-1,-1,-1",
        "7",
        "7,7",
        "7,7,7",
        "900,900,900",
        "4000000000000000000",
        "0"
      })
  void misreadErasDoNotStopFollowing(String eras) {
    FeedFleet fleet = startFleet(4);
    SimulatedSource.Copy copy = fleet.source.copy();
    fleet.source.returnTo(copy);
    fleet.advance(CALM);
    Long[] misread = Arrays.stream(eras.split(",")).map(Long::valueOf).toArray(Long[]::new);
    fleet.source.misreadEras(misread);
    fleet.source.put("servers/c", "1");
    fleet.advance(CALM.plus(CALM));
    fleet.source.put("config", "2");
    fleet.advance(PROPAGATION_LIMIT);
    assertFollowsSource(fleet);
  }

  /** A VM that starts with an era that is not the source's takes the next one that it is told. */
  @ParameterizedTest
  @ValueSource(strings = {"7", "-1", "4000000000000000000", "4000000000000000000,5"})
  void misreadEraAtStartIsCorrected(String eras) {
    FeedFleet fleet = startFleet(3);
    fleet.source.misreadEras(
        Arrays.stream(eras.split(",")).map(Long::valueOf).toArray(Long[]::new));
    fleet.restart(0);
    fleet.advance(CALM);
    fleet.source.put("config", "2");
    fleet.advance(PROPAGATION_LIMIT);
    assertFollowsSource(fleet);
    assertEquals(new SourcePosition(0, fleet.source.revision), fleet.status(0).position());
  }
}
