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

/** Guards against losing all instances after an outage of the source, and keeping gone ones. */
class InstanceRosterTest {
  private static final InstanceId ID = new InstanceId("i-1");

  private final SimulatedClock clock = new SimulatedClock();
  private final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  private final Set<String> listed = new TreeSet<>();
  private final List<String> events = new ArrayList<>();
  private final InstanceRoster roster =
      new InstanceRoster(
          clock,
          scheduler,
          (level, event, fields) -> events.add(event),
          instances -> {
            listed.clear();
            instances.forEach(instance -> listed.add(instance.id().value()));
          });

  private static InstanceRoster.Change listing(boolean leaving) {
    return listing(ID, leaving);
  }

  private static InstanceRoster.Change listing(InstanceId id, boolean leaving) {
    return new InstanceRoster.Change(
        id,
        Optional.of(
            new Instance(
                id,
                new ServiceName("rota"),
                new SocketEndpoint("127.0.0.1", 6_000),
                new FailureDomain("a"),
                leaving)));
  }

  private static InstanceRoster.Change removal() {
    return new InstanceRoster.Change(ID, Optional.empty());
  }

  @ParameterizedTest
  @CsvSource({
    "false, false, false, ''",
    "false, true, false, i-1",
    "false, true, true, i-1",
    "true, true, false, ''"
  })
  void removedEntryIsKeptOnlyIfItLapsedDuringAnOutage(
      boolean leaving, boolean sourceReturned, boolean comesBack, String expected) {
    roster.apply(List.of(listing(leaving)), false);
    roster.apply(List.of(removal()), sourceReturned);
    assertEquals(expected, String.join(",", listed));
    if (comesBack) {
      scheduler.advance(Duration.ofSeconds(1));
      roster.apply(List.of(listing(false)), true);
    }
    scheduler.advance(Duration.ofSeconds(2));
    assertEquals(comesBack ? "i-1" : "", String.join(",", listed));
  }

  /**
   * Pattern: all VMs are lost and come back at once. A line for each instance took a noticeable
   * part of each VM's start.
   */
  @ParameterizedTest
  @CsvSource({"1, 1, instance_listed", "20, 20, instance_listed", "400, 1, instances_listed"})
  void manyInstancesAtOnceAreLoggedInOneLine(int instances, int lines, String event) {
    List<InstanceRoster.Change> changes =
        IntStream.range(0, instances)
            .mapToObj(i -> listing(new InstanceId("i-" + i), false))
            .toList();
    roster.apply(changes, false);
    assertEquals(Collections.nCopies(lines, event), events);
  }
}
