package org.kumquatvane.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.testing.DiscardingEventLog;
import org.kumquatvane.testing.LogicalClock;
import org.kumquatvane.testing.LogicalScheduler;

/** Guards against losing all instances after an outage of the source, and keeping gone ones. */
class InstanceRosterTest {
  private static final InstanceId ID = new InstanceId("i-1");

  private final LogicalClock clock = new LogicalClock();
  private final LogicalScheduler scheduler = new LogicalScheduler(clock);
  private final Set<String> listed = new TreeSet<>();
  private final InstanceRoster roster =
      new InstanceRoster(
          clock,
          scheduler,
          new DiscardingEventLog(),
          instances -> {
            listed.clear();
            instances.forEach(instance -> listed.add(instance.id().value()));
          });

  private static InstanceRoster.Change listing(boolean leaving) {
    return new InstanceRoster.Change(
        ID,
        Optional.of(
            new Instance(
                ID,
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
}
