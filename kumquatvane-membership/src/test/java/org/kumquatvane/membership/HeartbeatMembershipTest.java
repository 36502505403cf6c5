package org.kumquatvane.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a fleet that does not agree on a view again after a fault, and against wrong
 * classification of faults.
 */
class HeartbeatMembershipTest {
  /** Startup delay of one promise (4 s), stability time and a few ticks. */
  private static final Duration START_LIMIT = Duration.ofSeconds(10);

  /**
   * Silence timeout (3 s), one tick for the reports, expiry of the old view's promises (4 s) and a
   * few ticks.
   */
  private static final Duration CHANGE_LIMIT = Duration.ofSeconds(14);

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 10, 40})
  void fleetWithoutFaultsAgreesOnStableView(int size) {
    FleetSimulation fleet = FleetSimulation.running(size);
    fleet.advanceUntilViewOf(fleet.running(), START_LIMIT);
    fleet.advance(Duration.ofSeconds(30));
    fleet.running().forEach(member -> assertEquals(List.of("agreed " + size), member.events));
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 10, 40})
  void crashedVmIsRemovedFromView(int size) {
    FleetSimulation fleet = fleetWithAgreedView(size);
    FleetSimulation.Member crashed = fleet.running().get(0);
    crashed.kill();
    fleet.advanceUntilViewOf(fleet.running(), CHANGE_LIMIT);
    assertEquals(
        PeerCondition.SILENT, fleet.running().get(0).membership.condition(crashed.vm.id()));
  }

  @ParameterizedTest
  @CsvSource({"3,0,2", "3,2,0", "10,4,7", "40,39,1"})
  void oneWayPartitionRemovesOneOfTheTwoVms(int size, int from, int to) {
    FleetSimulation fleet = fleetWithAgreedView(size);
    FleetSimulation.Member sender = fleet.running().get(from);
    FleetSimulation.Member receiver = fleet.running().get(to);
    fleet.network.setBlocked(sender.vm.id(), receiver.vm.id(), true);
    List<FleetSimulation.Member> rest = new ArrayList<>(fleet.running());
    rest.remove(from > to ? sender : receiver);
    fleet.advanceUntilViewOf(rest, CHANGE_LIMIT);
    FleetSimulation.Member observer = fleet.running().get(from == 0 || to == 0 ? 1 : 0);
    assertEquals(PeerCondition.PARTLY_REACHABLE, observer.membership.condition(sender.vm.id()));

    fleet.network.setBlocked(sender.vm.id(), receiver.vm.id(), false);
    fleet.advanceUntilViewOf(fleet.running(), CHANGE_LIMIT);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void resumedVmHoldsNoViewUntilItRejoins(boolean clockStops) {
    FleetSimulation fleet = fleetWithAgreedView(5);
    FleetSimulation.Member paused = fleet.running().get(3);
    paused.process.pause(clockStops);
    fleet.advance(Duration.ofSeconds(20));
    assertEquals(PeerCondition.SILENT, fleet.running().get(0).membership.condition(paused.vm.id()));
    paused.process.resume();
    assertTrue(paused.membership.agreedView().isEmpty());
    paused.process.runDeferredTasks();
    assertTrue(paused.events.contains("resumed"));
    fleet.advanceUntilViewOf(fleet.running(), CHANGE_LIMIT);
  }

  @Test
  void announcedDepartureIsDistinguishedFromCrash() {
    FleetSimulation fleet = fleetWithAgreedView(4);
    FleetSimulation.Member leaving = fleet.running().get(2);
    leaving.membership.depart();
    assertTrue(leaving.membership.agreedView().isEmpty());
    fleet.advance(Duration.ofMillis(100));
    leaving.kill();
    // Only the promises of the old view have to expire; the silence timeout does not apply.
    fleet.advanceUntilViewOf(fleet.running(), Duration.ofSeconds(6));
    for (FleetSimulation.Member member : fleet.running()) {
      assertTrue(member.events.contains("departed " + leaving.vm.id()));
      assertEquals(PeerCondition.DEPARTED, member.membership.condition(leaving.vm.id()));
    }
  }

  @Test
  void onlyMajorityPartitionHoldsView() {
    FleetSimulation fleet = fleetWithAgreedView(5);
    List<FleetSimulation.Member> all = fleet.running();
    all.subList(0, 2).forEach(left -> setBlockedBetween(fleet, left, all.subList(2, 5), true));
    fleet.advanceUntilViewOf(all.subList(2, 5), CHANGE_LIMIT);
    assertTrue(all.get(0).membership.agreedView().isEmpty());
  }

  /**
   * Without the startup delay, the replacements would agree on a second view while the first is
   * valid.
   */
  @Test
  void replacementsWaitForPromisesOfReplacedVms() {
    FleetSimulation fleet = FleetSimulation.running(4);
    List<FleetSimulation.Member> first = fleet.running();
    setBlockedBetween(fleet, first.get(3), first.subList(0, 3), true);
    fleet.advanceUntilViewOf(first.subList(0, 3), START_LIMIT);
    first.get(1).kill();
    first.get(2).kill();
    FleetSimulation.Member holder = first.get(0);
    List<FleetSimulation.Member> rest = List.of(first.get(3), fleet.startVm(), fleet.startVm());
    setBlockedBetween(fleet, holder, rest, true);
    fleet.publishList();
    fleet.advanceUntilViewOf(rest, START_LIMIT);
    assertTrue(holder.membership.agreedView().isEmpty());
  }

  @Test
  void olderVmListIsIgnored() {
    FleetSimulation fleet = fleetWithAgreedView(3);
    VmList older = fleet.vmListWithout(Set.of(fleet.running().get(0).vm.id()));
    fleet.publishList();
    fleet.running().forEach(member -> member.applyList(older));
    assertEquals(3, fleet.running().get(1).membership.listedVms().size());
  }

  @Test
  void raisingMaximumVmCountEndsViewWithoutMajority() {
    FleetSimulation fleet = fleetWithAgreedView(3);
    fleet.running().forEach(member -> member.membership.setMaximumVmCount(6));
    assertFalse(fleet.running().get(0).membership.agreedView().isPresent());
    fleet.running().forEach(member -> member.membership.setMaximumVmCount(5));
    fleet.advanceUntilViewOf(fleet.running(), CHANGE_LIMIT);
  }

  @Test
  void fixedScopeSelectsNamedVms() {
    FixedScope scope = new FixedScope(Set.of(FleetSimulation.running(3).running().get(1).vm.id()));
    FleetSimulation fleet = FleetSimulation.running(3);
    List<Vm> selected = scope.select(fleet.vmListWithout(Set.of()).entryVms());
    assertEquals(1, selected.size());
  }

  private static void setBlockedBetween(
      FleetSimulation fleet,
      FleetSimulation.Member left,
      List<FleetSimulation.Member> others,
      boolean isBlocked) {
    for (FleetSimulation.Member right : others) {
      fleet.network.setBlocked(left.vm.id(), right.vm.id(), isBlocked);
      fleet.network.setBlocked(right.vm.id(), left.vm.id(), isBlocked);
    }
  }

  private static FleetSimulation fleetWithAgreedView(int size) {
    FleetSimulation fleet = FleetSimulation.running(size);
    fleet.advanceUntilViewOf(fleet.running(), START_LIMIT);
    return fleet;
  }
}
