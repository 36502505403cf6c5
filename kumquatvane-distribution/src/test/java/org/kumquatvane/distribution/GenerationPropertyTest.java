package org.kumquatvane.distribution;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.kumquatvane.core.VmId;

/** Guards against VMs that revert to an older document or do not converge to the newest one. */
class GenerationPropertyTest {
  /** Seeds per try; set with {@code -Dkumquatvane.seedsPerTry=100}. */
  private static final int SEEDS_PER_TRY = Integer.getInteger("kumquatvane.seedsPerTry", 1);

  @Property(tries = 30, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void generationsNeverDecreaseAndConvergeAfterFaults(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 9) int size) {
    for (int i = 0; i < SEEDS_PER_TRY; i++) {
      new FaultScenario(new DistributionFleet(seed + i, size)).run();
    }
  }

  private static final class FaultScenario {
    private final DistributionFleet fleet;
    private long generation = 1;

    FaultScenario(DistributionFleet fleet) {
      this.fleet = fleet;
    }

    void run() {
      publish(generation, "first");
      for (int i = 0; i < 40; i++) {
        injectRandomFault();
        fleet.advance(Duration.ofMillis(10 + fleet.random.nextInt(2_000)));
        fleet.running().forEach(FaultScenario::checkOrder);
      }
      clearFaults();
      publish(++generation, "last");
      fleet.advanceUntilAll(member -> member.generation() == generation, Duration.ofSeconds(30));
      fleet.running().forEach(FaultScenario::checkOrder);
    }

    private static void checkOrder(DistributionFleet.Member member) {
      List<Long> seen = member.generations;
      for (int i = 1; i < seen.size(); i++) {
        if (seen.get(i) <= seen.get(i - 1)) {
          throw new AssertionError("generation decreased: " + seen);
        }
      }
    }

    private void injectRandomFault() {
      switch (fleet.random.nextInt(10)) {
        case 0 -> fleet.network.setBlocked(randomVm().vm.id(), randomVm().vm.id(), true);
        case 1 -> fleet.network.setFaults(fleet.random.nextDouble() / 2, fleet.random.nextDouble());
        case 2 -> randomVm().process.pause(fleet.random.nextBoolean());
        case 3 -> resumeAll();
        case 4 -> replaceRandomVm();
        case 5 -> fleet.platform.cutOff.add(randomVm().vm.id());
        case 6 -> fleet.platform.freezeValues(randomVm().vm.id());
        case 7 ->
            fleet.platform.overrideValue(
                randomVm().vm.id(),
                DistributionFleet.VALUE,
                TextDocuments.bytes("generation " + generation, "key other"));
        // A source restored from a backup publishes a lower generation with a newer version.
        case 8 -> publish(Math.max(1, generation - fleet.random.nextInt(3)), "old");
        default -> publish(++generation, "new");
      }
    }

    private void publish(long published, String key) {
      fleet.platform.publish(
          DistributionFleet.VALUE, TextDocuments.bytes("generation " + published, "key " + key));
    }

    private DistributionFleet.Member randomVm() {
      List<DistributionFleet.Member> running = fleet.running();
      return running.get(fleet.random.nextInt(running.size()));
    }

    private void replaceRandomVm() {
      if (fleet.running().size() > 1) {
        randomVm().kill();
      }
      fleet.startVm();
      fleet.publishList();
    }

    private void resumeAll() {
      for (DistributionFleet.Member member : fleet.running()) {
        member.process.resume();
        member.process.runDeferredTasks();
      }
    }

    private void clearFaults() {
      resumeAll();
      fleet.platform.clearFaults();
      fleet.network.setFaults(0, 0);
      for (VmId from : fleet.members.keySet()) {
        for (VmId to : fleet.members.keySet()) {
          fleet.network.setBlocked(from, to, false);
        }
      }
    }
  }
}
