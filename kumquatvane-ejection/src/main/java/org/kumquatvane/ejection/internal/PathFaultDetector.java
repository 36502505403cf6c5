package org.kumquatvane.ejection.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.kumquatvane.core.VmId;
import org.kumquatvane.ejection.InstanceEvidence;

/**
 * Finds VMs whose bad outcomes come from their own network path: bad for several instances on which
 * the other VMs see nothing. Guarded by the lock of the health table.
 */
public final class PathFaultDetector {
  /** Evidence weighing less is treated as none. */
  static final double NEGLIGIBLE_ATTEMPTS = 0.05;

  /** One failure among few attempts, or a deviation of two standard errors. */
  private static final double SUSPICION_CERTAINTY = 1.5;

  /** Attempts of the others that are enough to contradict a VM. */
  private static final double CONTRADICTING_ATTEMPTS = 3;

  /** The others contradict a VM if they see less than this share of its failures or deviation. */
  private static final double CONTRADICTING_SHARE = 0.25;

  /** Contradictions on this many instances discount a VM; one may be a fault of a single path. */
  private static final int DISCOUNTING_CONTRADICTIONS = 2;

  private final VmId self;
  private Set<VmId> discounted = Set.of();

  /**
   * Creates a table in which no VM is discounted.
   *
   * @param self this VM
   */
  public PathFaultDetector(VmId self) {
    this.self = self;
  }

  /**
   * Replaces the set of discounted VMs.
   *
   * @param contradictions for each VM the instances on which it is contradicted
   */
  public void update(Map<VmId, Integer> contradictions) {
    Set<VmId> next = new HashSet<>();
    contradictions.forEach(
        (vm, count) -> {
          if (count >= DISCOUNTING_CONTRADICTIONS) {
            next.add(vm);
          }
        });
    discounted = next;
  }

  /**
   * Tells whether this VM's own path is taken as bad.
   *
   * @return whether its evidence is discounted
   */
  public boolean isSelfDiscounted() {
    return discounted.contains(self);
  }

  boolean isDiscounted(VmId vm) {
    return discounted.contains(vm);
  }

  boolean isSuspicious(InstanceEvidence.Counts counts, Baseline baseline) {
    return hasSuspiciousFailures(counts, baseline) || isSuspiciouslySlow(counts, baseline);
  }

  private static boolean hasSuspiciousFailures(InstanceEvidence.Counts counts, Baseline baseline) {
    return Certainty.ofFailures(counts.attempts(), counts.failures(), baseline.failureRate())
        >= SUSPICION_CERTAINTY;
  }

  private static boolean isSuspiciouslySlow(InstanceEvidence.Counts counts, Baseline baseline) {
    return Certainty.ofSlowness(
            counts.latencySamples(), counts.latencyDeviation(), baseline.variance())
        >= SUSPICION_CERTAINTY;
  }

  void addContradictions(
      InstanceEvidence.Counts own,
      Map<VmId, InstanceEjectionState.Report> reports,
      Baseline baseline,
      Map<VmId, Integer> contradictions) {
    if (reports.isEmpty()) {
      return;
    }
    Map<VmId, InstanceEvidence.Counts> all = new HashMap<>();
    all.put(self, own);
    reports.forEach((vm, report) -> all.put(vm, report.counts()));
    EvidenceSum total = new EvidenceSum();
    all.values().forEach(total::add);
    all.forEach(
        (vm, counts) -> {
          EvidenceSum others = total.without(counts);
          boolean isContradicted =
              others.attempts() >= CONTRADICTING_ATTEMPTS
                  && ((hasSuspiciousFailures(counts, baseline)
                          && others.failureRate()
                              < CONTRADICTING_SHARE * counts.failures() / counts.attempts())
                      || (isSuspiciouslySlow(counts, baseline)
                          && others.deviation() < CONTRADICTING_SHARE * counts.latencyDeviation()));
          if (isContradicted) {
            contradictions.merge(vm, 1, Integer::sum);
          }
        });
  }
}
