package org.kumquatvane.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.testing.DiscardingEventLog;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedScheduler;

/**
 * Guards against VMs that do not discover each other, and against entries that are never removed.
 */
class GossipMembershipTest {
  private static final int DOMAINS = 3;

  private final SimulatedClock clock = new SimulatedClock();
  private final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3L);
  private final SimulatedNetwork network = new SimulatedNetwork(clock, scheduler, random);
  private final List<GossipMembership> members = new ArrayList<>();
  private long crossDomainReports;

  private static SocketEndpoint endpoint(int number) {
    return new SocketEndpoint("10.0.0." + (number + 1), 7_000);
  }

  private static VmId name(int number) {
    return new VmId(endpoint(number).toString());
  }

  private void start(int vms, SocketEndpoint... seeds) {
    for (int i = members.size(); members.size() < vms; i++) {
      members.add(startVm(i, seeds));
    }
  }

  private GossipMembership startVm(int number, SocketEndpoint... seeds) {
    FailureDomain domain = new FailureDomain("domain-" + number % DOMAINS);
    Vm self = new Vm(name(number), endpoint(number), domain, VmState.LIVE);
    GossipMembership member =
        new GossipMembership(
            self,
            GossipSettings.of(List.of(seeds)),
            countingSender(number),
            List.of(),
            clock,
            scheduler,
            RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong()),
            new DiscardingEventLog());
    network.connect(self.id(), (from, message) -> member.handle(from, (MemberReport) message));
    member.start();
    return member;
  }

  private PeerSender countingSender(int number) {
    PeerSender sender = network.sender(name(number));
    return (destination, message) -> {
      String host = SocketEndpoint.parse(destination.value()).host();
      int other = Integer.parseInt(host.substring(host.lastIndexOf('.') + 1)) - 1;
      crossDomainReports += other % DOMAINS == number % DOMAINS ? 0 : 1;
      sender.send(destination, message);
    };
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 9, 40, 120})
  void allVmsDiscoverEachOtherThroughSeeds(int vms) {
    start(vms, endpoint(0), endpoint(1));
    scheduler.advance(Duration.ofSeconds(12));
    for (GossipMembership member : members) {
      assertEquals(vms - 1, member.allPeers().size());
      assertEquals(vms, member.possibleVms());
    }
  }

  @Test
  void oneReachableSeedIsSufficient() {
    start(9, endpoint(200), endpoint(4));
    scheduler.advance(Duration.ofSeconds(12));
    members.forEach(member -> assertEquals(8, member.allPeers().size()));
  }

  /**
   * VMs that start while all seeds are down don't find each other. None of them may take itself for
   * the whole fleet, with the whole limits of all workspaces.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 6})
  void vmWithoutReachableSeedIsNotTheWholeFleet(int vms) {
    start(vms, endpoint(200), endpoint(201), endpoint(202));
    for (int second = 0; second < 120; second++) {
      members.forEach(member -> assertEquals(4, member.possibleVms()));
      scheduler.advance(Duration.ofSeconds(1));
    }
  }

  @Test
  void ranksAreUniqueWithinFailureDomain() {
    start(12, endpoint(0));
    scheduler.advance(Duration.ofSeconds(12));
    List<Integer> ranks =
        IntStream.range(0, 12).mapToObj(i -> members.get(i).rank("task")).sorted().toList();
    assertEquals(List.of(0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3), ranks);
  }

  /**
   * A partitioned VM still uses its share of the rates, so it counts as possibly running for a
   * while.
   */
  @Test
  void silentVmsAreExcludedAndLaterRemoved() {
    start(9, endpoint(0));
    scheduler.advance(Duration.ofSeconds(12));
    network.disconnect(name(8));
    IntStream.range(0, 8).forEach(i -> network.setBlocked(name(8), name(i), true));
    scheduler.advance(Duration.ofSeconds(20));
    assertFalse(members.get(5).allPeers().contains(name(8)));
    assertEquals(9, members.get(5).possibleVms());
    scheduler.advance(Duration.ofSeconds(70));
    members.subList(0, 8).forEach(member -> assertEquals(8, member.possibleVms()));
    // No VM may add the entry again from an old report.
    scheduler.advance(Duration.ofSeconds(60));
    members.subList(0, 8).forEach(member -> assertEquals(8, member.possibleVms()));
  }

  /** The kept order must follow each VM that is lost, leaves or returns, without a delay. */
  @ParameterizedTest
  @ValueSource(strings = {"source-reader", "limits"})
  void orderIsThatOfTheLiveVmsAtAnyTime(String task) {
    start(9, endpoint(0));
    for (int step = 0; step < 400; step++) {
      if (step == 120) {
        network.disconnect(name(8));
      } else if (step == 200) {
        members.get(7).leave();
      } else if (step == 300) {
        startVm(8, endpoint(0));
      }
      scheduler.advance(Duration.ofMillis(100));
      GossipMembership observer = members.get(step % 7);
      List<VmId> expected =
          Rendezvous.order(task, observer.liveVms()).stream().map(Vm::id).toList();
      assertEquals(expected, observer.order(task));
      assertEquals(expected.size(), observer.allPeers().size() + 1);
    }
  }

  @Test
  void leavingVmsAreExcludedFromPeers() {
    start(6, endpoint(0));
    scheduler.advance(Duration.ofSeconds(12));
    members.get(3).leave();
    scheduler.advance(Duration.ofMillis(50));
    assertFalse(members.get(0).localPeers().contains(name(3)));
    assertEquals(5, members.get(0).possibleVms());
  }

  /** The entry of a restarted process must supersede the old entry of the same VM. */
  @Test
  void restartedVmReplacesItsOldEntry() {
    start(6, endpoint(0));
    scheduler.advance(Duration.ofSeconds(12));
    network.disconnect(name(5));
    scheduler.advance(Duration.ofSeconds(30));
    GossipMembership restarted = startVm(5, endpoint(0));
    scheduler.advance(Duration.ofSeconds(8));
    assertEquals(5, restarted.allPeers().size());
    assertTrue(members.get(0).allPeers().contains(name(5)));
    assertEquals(6, members.get(0).possibleVms());
  }

  /**
   * Traffic between failure domains is costly, so the number of reports must not grow with the
   * fleet.
   */
  @ParameterizedTest
  @ValueSource(ints = {12, 60, 120})
  void crossDomainReportsDoNotGrowWithFleetSize(int vms) {
    start(vms, endpoint(0), endpoint(1), endpoint(2));
    scheduler.advance(Duration.ofSeconds(15));
    long before = crossDomainReports;
    scheduler.advance(Duration.ofSeconds(20));
    double perSecond = (crossDomainReports - before) / 20.0;
    // Two bridges in each of three domains report to two other domains, and contact two seeds every
    // 5 s.
    double expected = 3 * 2 * 2 + 3 * 2 * 2 * 2 / 5.0;
    assertTrue(perSecond <= 1.1 * expected, "reports a second between domains: " + perSecond);
  }
}
