package org.kumquatvane.engine.gray;

import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Reason;

/** Counts requests and attempts of all VMs after the fault onset. */
final class AttemptCounters implements Counters {
  private final Simulation simulation;

  AttemptCounters(Simulation simulation) {
    this.simulation = simulation;
  }

  @Override
  public void count(Reason reason) {}

  @Override
  public void add(String name, long amount) {
    if (simulation.isAfterOnset()) {
      if (name.equals("attempts.started")) {
        simulation.result.attempts += amount;
      } else if (name.equals("attempts.logical_requests")) {
        simulation.result.logicalRequests += amount;
      }
    }
  }
}
