package org.kumquatvane.document;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.WorkspaceId;

class DocumentDifferenceTest {
  private static final KeyDigest FIRST = KeyDigest.ofKey("first");
  private static final KeyDigest SECOND = KeyDigest.ofKey("second");

  private static Document document(
      long generation, int vmCount, int floorPercent, String path, List<KeyDigest> keys) {
    Workspace workspace = new Workspace(new WorkspaceId("w"), keys, new RateLimit(1, 2));
    Service service =
        new Service(
            new ServiceName("s"),
            new InstanceCapacity(2, 9, Duration.ZERO),
            new QueuePolicy(1, 1),
            SelectionMode.ROUND_ROBIN,
            new EjectionSettings(
                EjectionProfile.FAST, floorPercent, Duration.ofMillis(1), Duration.ofMillis(2)),
            new RetrySettings(RetryMode.NONE, 1, 0, Duration.ZERO));
    Route route =
        new Route(
            new RouteId("r"),
            new ServiceName("s"),
            Set.of("GET", "HEAD"),
            path,
            true,
            IdempotencyKeyRule.IGNORED,
            true,
            List.of(),
            Duration.ofMillis(5),
            6);
    return new Document(
        generation,
        "digest" + generation,
        new FleetPolicy(vmCount, LimitMechanism.LEASED_SHARES),
        List.of(workspace),
        List.of(service),
        List.of(route));
  }

  /** Guards against a changed field that is missing from the difference. */
  @ParameterizedTest
  @CsvSource({
    "40, 50, /a, ''",
    "41, 50, /a, 'FLEET maximumVmCount: 40 -> 41'",
    "40, 60, /a, 'SERVICE ejection.healthyFloorPercent: 50 -> 60'",
    "40, 50, /b, 'ROUTE path: /a -> /b'"
  })
  void showsChangedFields(int vmCount, int floorPercent, String path, String expected) {
    DocumentDifference difference =
        DocumentDifference.between(
            document(1, 40, 50, "/a", List.of(FIRST, SECOND)),
            document(2, vmCount, floorPercent, path, List.of(SECOND, FIRST)));
    StringBuilder shown = new StringBuilder();
    for (PartChange change : difference.changes()) {
      change.fields().forEach(field -> shown.append(change.part()).append(' ').append(field));
    }
    assertEquals(expected, shown.toString());
    assertEquals(List.of(), difference.withdrawnKeys());
  }

  /** Guards against a removed key that is not reported as withdrawn. */
  @Test
  void listsWithdrawnKeys() {
    DocumentDifference difference =
        DocumentDifference.between(
            document(1, 40, 50, "/a", List.of(FIRST, SECOND)),
            document(2, 40, 50, "/a", List.of(SECOND)));
    assertEquals(List.of(FIRST), difference.withdrawnKeys());
    assertEquals(PartChange.Kind.CHANGED, difference.changes().get(0).kind());
  }
}
