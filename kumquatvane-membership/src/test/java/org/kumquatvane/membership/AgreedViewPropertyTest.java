package org.kumquatvane.membership;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.kumquatvane.core.VmId;

/** Guards against two VMs that hold valid views with different members at the same time. */
class AgreedViewPropertyTest {
  /** Seeds per try; for more, set {@code -Dkumquatvane.seedsPerTry=100}. */
  private static final int SEEDS_PER_TRY = Integer.getInteger("kumquatvane.seedsPerTry", 1);

  @Property(tries = 60, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void concurrentViewsHaveTheSameMembers(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 7) int size) {
    for (int i = 0; i < SEEDS_PER_TRY; i++) {
      new Faults(new FleetSimulation(seed + i, size), size).run();
    }
  }

  /** Injects random faults and keeps the number of running processes within the maximum. */
  private static final class Faults {
    private final FleetSimulation fleet;

    Faults(FleetSimulation fleet, int size) {
      this.fleet = fleet;
      for (int i = 0; i < size; i++) {
        fleet.startVm();
      }
      fleet.publishList();
    }

    void run() {
      fleet.advance(Duration.ofMillis(fleet.random.nextInt(8_000)));
      for (int i = 0; i < 60; i++) {
        injectRandomFault();
        fleet.advance(Duration.ofMillis(10 + fleet.random.nextInt(1_500)));
      }
    }

    private void injectRandomFault() {
      switch (fleet.random.nextInt(9)) {
        case 0 -> fleet.network.setBlocked(randomVm().vm.id(), randomVm().vm.id(), true);
        case 1 -> unblockAllLinks();
        case 2 -> randomVm().process.pause(fleet.random.nextBoolean());
        case 3 -> fleet.running().forEach(FleetSimulation.Member::resume);
        case 4 -> {
          if (fleet.running().size() > 1) {
            randomVm().kill();
          }
        }
        case 5 -> {
          if (fleet.running().size() < fleet.maximumVmCount) {
            fleet.startVm();
          }
        }
        case 6 -> publishDifferentLists();
        case 7 -> changeNetworkFaults();
        default -> raiseMaximumVmCount();
      }
    }

    private FleetSimulation.Member randomVm() {
      List<FleetSimulation.Member> running = fleet.running();
      return running.get(fleet.random.nextInt(running.size()));
    }

    private void unblockAllLinks() {
      for (VmId from : fleet.members.keySet()) {
        for (VmId to : fleet.members.keySet()) {
          fleet.network.setBlocked(from, to, false);
        }
      }
    }

    /** Publishes a list of all VMs, or of all but one running VM, to all or some of the VMs. */
    private void publishDifferentLists() {
      Set<VmId> omitted = fleet.random.nextInt(3) == 0 ? Set.of(randomVm().vm.id()) : Set.of();
      VmList list = fleet.vmListWithout(omitted);
      double share = fleet.random.nextBoolean() ? 1 : 0.5;
      for (FleetSimulation.Member member : fleet.running()) {
        if (fleet.random.nextDouble() < share) {
          member.applyList(list);
        }
      }
    }

    private void changeNetworkFaults() {
      boolean faultless = fleet.random.nextBoolean();
      fleet.network.setFaults(
          faultless ? 0 : fleet.random.nextDouble() * 0.4,
          faultless ? 0 : fleet.random.nextDouble() * 0.4);
      fleet.network.setDelay(
          Duration.ofMillis(1), Duration.ofMillis(faultless ? 3 : fleet.random.nextInt(2, 6_000)));
    }

    /** Operators raise the bound everywhere before they start more VMs. */
    private void raiseMaximumVmCount() {
      if (fleet.maximumVmCount < 8 && fleet.random.nextInt(4) == 0) {
        fleet.maximumVmCount++;
        fleet
            .running()
            .forEach(member -> member.membership.setMaximumVmCount(fleet.maximumVmCount));
      }
    }
  }
}
