package org.kumquatvane.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against VMs that hold something else than the source after a calm time, whichever writes,
 * returns to copies, cuts, restarts and late responses came before it.
 */
class SourceReturnPropertyTest {
  private static final int VMS = 3;
  private static final int KEYS = 4;
  private static final Duration CALM = Duration.ofSeconds(12);

  private FeedFleet fleet = new FeedFleet(VMS);
  private final Deque<SimulatedSource.Copy> copies = new ArrayDeque<>();
  private int number;

  @Property(tries = 2000, seed = "54")
  void allVmsHoldWhatSourceHolds(
      @ForAll @Size(min = 10, max = 60) List<@IntRange(min = 0, max = 119) Integer> steps) {
    fleet = new FeedFleet(VMS);
    copies.clear();
    number = 1;
    fleet.source.put("config", "1");
    fleet.advance(Duration.ofSeconds(1));
    for (int step : steps) {
      apply(step % 12, step / 12);
    }
    fleet.source.sendsPartialSnapshot = false;
    for (int vm = 0; vm < VMS; vm++) {
      fleet.cutOffFromSource(vm, false);
      fleet.cutOffFromPeers(vm, false);
    }
    fleet.source.put("config", String.valueOf(++number));
    fleet.advance(CALM);
    for (Replica replica : fleet.replicas) {
      assertEquals(fleet.source.values(), replica.values);
      assertEquals(0, replica.configurationRegressions);
    }
  }

  private void apply(int kind, int detail) {
    int vm = detail % VMS;
    String key = "servers/" + detail % KEYS;
    switch (kind) {
      case 0, 1 -> fleet.source.put(key, String.valueOf(++number));
      case 2 -> fleet.source.remove(key);
      case 3 -> fleet.source.put("config", String.valueOf(++number));
      case 4 -> copies.push(fleet.source.copy());
      case 5 -> {
        if (!copies.isEmpty()) {
          fleet.source.returnTo(detail % 2 == 0 ? copies.pop() : copies.peek());
        }
      }
      case 6 -> fleet.cutOffFromSource(vm, detail >= KEYS);
      case 7 -> fleet.cutOffFromPeers(vm, detail >= KEYS);
      case 8 -> fleet.restart(vm);
      case 9 -> fleet.source.sendsPartialSnapshot = detail >= KEYS;
      default -> fleet.advance(Duration.ofMillis(50L + 200L * detail));
    }
  }
}
