package org.kumquatvane.ejection.internal;

import java.util.Collection;
import org.kumquatvane.core.Clock;

/**
 * Attempts and failures that the instances of a service have in common, by the counts of all VMs.
 * Each VM alone sees too few attempts to notice that a failure affects the whole service.
 */
final class CommonFailures {
  private CommonFailures() {}

  /** Sums the usable instances without the one that has the most failures. */
  static EvidenceSum of(
      Collection<InstanceEjectionState> instances, PathFaultDetector pathFaults, Clock clock) {
    EvidenceSum total = new EvidenceSum();
    EvidenceSum worst = new EvidenceSum();
    for (InstanceEjectionState entry : instances) {
      if (entry.ejection == null && entry.countsAsCapacity(clock)) {
        EvidenceSum sum = sum(entry, pathFaults);
        total.add(sum.attempts(), sum.failures());
        worst = sum.failures() > worst.failures() ? sum : worst;
      }
    }
    total.add(-worst.attempts(), -worst.failures());
    return total;
  }

  private static EvidenceSum sum(InstanceEjectionState entry, PathFaultDetector pathFaults) {
    EvidenceSum sum = new EvidenceSum();
    if (!pathFaults.isSelfDiscounted()) {
      sum.add(entry.ownEvidence.attempts(), entry.ownEvidence.failures());
    }
    entry
        .reports()
        .forEach(
            (vm, report) -> {
              if (!pathFaults.isDiscounted(vm)) {
                sum.add(report.counts());
              }
            });
    return sum;
  }
}
