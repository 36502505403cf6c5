package org.kumquatvane.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedScheduler;

/**
 * Guards against dropping all instances after an outage of the source and against keeping removed
 * instances.
 */
class InstanceRegistryTest {
  private static final InstanceId ID = new InstanceId("i-1");

  private final SimulatedClock clock = new SimulatedClock();
  private final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  private final Set<String> listedIds = new TreeSet<>();
  private final List<String> events = new ArrayList<>();
  private final InstanceRegistry registry =
      new InstanceRegistry(
          clock,
          scheduler,
          (level, event, fields) -> events.add(event),
          instances -> {
            listedIds.clear();
            instances.forEach(instance -> listedIds.add(instance.id().value()));
          });

  private static InstanceRegistry.Change listed(boolean leaving) {
    return listed(ID, leaving);
  }

  private static InstanceRegistry.Change listed(InstanceId id, boolean leaving) {
    return new InstanceRegistry.Change(
        id,
        Optional.of(
            new Instance(
                id,
                new ServiceName("rota"),
                new SocketEndpoint("127.0.0.1", 6_000),
                new FailureDomain("a"),
                leaving)));
  }

  private static InstanceRegistry.Change removal() {
    return new InstanceRegistry.Change(ID, Optional.empty());
  }

  @ParameterizedTest
  @CsvSource({
    "false, false, false, ''",
    "false, true, false, i-1",
    "false, true, true, i-1",
    "true, true, false, ''"
  })
  void removedInstanceIsKeptOnlyIfItLapsedDuringAnOutage(
      boolean leaving, boolean sourceReconnected, boolean relisted, String expected) {
    registry.apply(List.of(listed(leaving)), false);
    registry.apply(List.of(removal()), sourceReconnected);
    assertEquals(expected, String.join(",", listedIds));
    if (relisted) {
      scheduler.advance(Duration.ofSeconds(1));
      registry.apply(List.of(listed(false)), true);
    }
    scheduler.advance(Duration.ofSeconds(2));
    assertEquals(relisted ? "i-1" : "", String.join(",", listedIds));
  }

  /**
   * After all VMs restart at once, each one learns of every instance; one log line per instance
   * took a noticeable part of the startup time.
   */
  @ParameterizedTest
  @CsvSource({"1, 1, instance_listed", "20, 20, instance_listed", "400, 1, instances_listed"})
  void manyInstancesAtOnceAreLoggedInOneLine(int instances, int lines, String event) {
    List<InstanceRegistry.Change> changes =
        IntStream.range(0, instances)
            .mapToObj(i -> listed(new InstanceId("i-" + i), false))
            .toList();
    registry.apply(changes, false);
    assertEquals(Collections.nCopies(lines, event), events);
  }
}
