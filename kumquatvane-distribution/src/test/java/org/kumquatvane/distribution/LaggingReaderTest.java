package org.kumquatvane.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against instances that stay in use after they were removed: a reader that knew less than
 * the other VMs reported its changes without the removal of what it had not known.
 */
class LaggingReaderTest {
  private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(2);

  /** How the reader comes to know less than the other VMs. */
  enum Lag {
    RESTART,
    CUT_OFF
  }

  @ParameterizedTest
  @CsvSource({
    "3, RESTART, false",
    "3, RESTART, true",
    "3, CUT_OFF, false",
    "3, CUT_OFF, true",
    "12, RESTART, true",
    "12, CUT_OFF, true"
  })
  void removalsReachAllVms(int vms, Lag lag, boolean losesHistory) {
    FeedFleet fleet = new FeedFleet(vms);
    fleet.source.put("config", "1");
    fleet.advance(PROPAGATION_LIMIT);
    fleet.source.freezeCheapReads();
    if (lag == Lag.CUT_OFF) {
      fleet.cutOffFromSource(0, true);
      fleet.cutOffFromPeers(0, true);
      fleet.advance(PROPAGATION_LIMIT);
    }
    fleet.source.put("servers/a", "1");
    fleet.advance(PROPAGATION_LIMIT);
    for (int vm = 1; vm < vms; vm++) {
      // The others hear of the removal only from the reader.
      fleet.cutOffFromSource(vm, true);
    }
    fleet.source.remove("servers/a");
    fleet.source.oldestRevision = losesHistory ? fleet.source.revision : 0;
    if (lag == Lag.RESTART) {
      fleet.restart(0);
    } else {
      fleet.cutOffFromSource(0, false);
      fleet.cutOffFromPeers(0, false);
    }
    fleet.advance(PROPAGATION_LIMIT);
    for (Replica replica : fleet.replicas) {
      assertEquals(fleet.source.values(), replica.values);
    }
  }
}
