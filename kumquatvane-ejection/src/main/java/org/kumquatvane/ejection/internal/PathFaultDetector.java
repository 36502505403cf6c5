package org.kumquatvane.ejection.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.kumquatvane.core.VmId;
import org.kumquatvane.ejection.InstanceEvidence;

/**
 * Detects VMs whose failures or slowness are caused by their own network path: they affect several
 * instances on which the other VMs observe nothing. Evidence of such VMs is discounted. Guarded by
 * the lock of the outlier detector.
 */
public final class PathFaultDetector {
  /** Weight below which evidence is ignored. */
  static final double NEGLIGIBLE_ATTEMPTS = 0.05;

  /**
   * Certainty in nats at which evidence is suspicious: one failure among few attempts, or a
   * deviation of two standard errors.
   */
  private static final double SUSPICION_CERTAINTY = 1.5;

  /** Attempts of the other VMs that suffice to contradict a VM. */
  private static final double CONTRADICTING_ATTEMPTS = 3;

  /**
   * The other VMs contradict a VM if they observe less than this share of its failure rate or
   * deviation.
   */
  private static final double CONTRADICTING_SHARE = 0.25;

  /**
   * Number of instances with contradictions at which a VM is discounted; a single one may be a
   * fault of one path.
   */
  private static final int DISCOUNTING_CONTRADICTIONS = 2;

  private final VmId self;
  private Set<VmId> discounted = Set.of();

  /**
   * Creates a detector without discounted VMs.
   *
   * @param self this VM
   */
  public PathFaultDetector(VmId self) {
    this.self = self;
  }

  /**
   * Replaces the set of discounted VMs.
   *
   * @param contradictions number of instances on which each VM is contradicted
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
   * Returns whether this VM's own network path is considered faulty.
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
