package org.kumquatvane.engine.gray;

import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Reason;

/** Counts attempts of all VMs after the onset. */
final class OutcomeCounters implements Counters {
  private final Simulation simulation;

  OutcomeCounters(Simulation simulation) {
    this.simulation = simulation;
  }

  @Override
  public void count(Reason reason) {}

  @Override
  public void add(String name, long amount) {
    if (simulation.isAfterOnset()) {
      if (name.equals("attempts.started")) {
        simulation.outcome.attempts += amount;
      } else if (name.equals("attempts.logical_requests")) {
        simulation.outcome.logicalRequests += amount;
      }
    }
  }
}
