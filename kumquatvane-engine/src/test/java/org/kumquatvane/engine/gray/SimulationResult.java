package org.kumquatvane.engine.gray;

import java.util.ArrayList;
import java.util.List;

/** Measurements of one run, taken from the fault onset on. */
final class SimulationResult {
  static final int WORKSPACES = 8;

  /**
   * Seconds from the onset until nine in ten VMs ejected the instance; infinite if they did not.
   */
  double detectionSeconds = Double.POSITIVE_INFINITY;

  /** Number of pairs of a VM and a healthy instance that it ejected. */
  int falseEjections;

  /** Number of healthy instances that any VM ejected. */
  int falselyEjectedInstances;

  int floorViolations;
  int duplicateOperationRuns;
  long usedSlotNanos;
  long wastedSlotNanos;
  long attempts;
  long logicalRequests;
  final long[] sent = new long[WORKSPACES];
  final long[] inTime = new long[WORKSPACES];
  final long[] refused = new long[WORKSPACES];
  final List<List<Double>> latencyMillis = new ArrayList<>();

  SimulationResult() {
    for (int workspace = 0; workspace < WORKSPACES; workspace++) {
      latencyMillis.add(new ArrayList<>());
    }
  }

  /** Returns the highest 99th percentile over the workspaces, starting at a given one. */
  double worstPercentile99(int firstWorkspace) {
    double worst = 0;
    for (List<Double> latencies : latencyMillis.subList(firstWorkspace, WORKSPACES)) {
      List<Double> sorted = latencies.stream().sorted().toList();
      if (!sorted.isEmpty()) {
        worst = Math.max(worst, sorted.get((int) (0.99 * (sorted.size() - 1))));
      }
    }
    return worst;
  }

  /** Returns the lowest share of responses in time over the workspaces, starting at a given one. */
  double worstInTime(int firstWorkspace) {
    double worst = 1;
    for (int workspace = firstWorkspace; workspace < WORKSPACES; workspace++) {
      if (sent[workspace] > 0) {
        worst = Math.min(worst, (double) inTime[workspace] / sent[workspace]);
      }
    }
    return worst;
  }

  double attemptsPerRequest() {
    return logicalRequests == 0 ? 0 : (double) attempts / logicalRequests;
  }

  double wastedShare() {
    return usedSlotNanos == 0 ? 0 : (double) wastedSlotNanos / usedSlotNanos;
  }
}
