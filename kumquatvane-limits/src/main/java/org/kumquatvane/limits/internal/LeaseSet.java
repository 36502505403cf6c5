package org.kumquatvane.limits.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.kumquatvane.core.VmId;

/**
 * Leases of one workspace in one direction, lent or borrowed, keyed by the other VM. Not
 * thread-safe.
 *
 * <p>A grant states the total that the borrower holds until a deadline, not an increment: at any
 * time the largest grant that has not ended counts. The lender records every grant with a later
 * deadline than the borrower does, so that after lost, duplicate and late grants the lender still
 * counts at least what the borrower uses.
 */
public final class LeaseSet {
  private final Map<VmId, List<Lease>> leases = new HashMap<>();

  /**
   * Records a grant.
   *
   * @param other the other VM
   * @param fraction total held until the deadline
   * @param untilNanos monotonic time at which it ends
   */
  public void add(VmId other, double fraction, long untilNanos) {
    List<Lease> vmLeases = leases.computeIfAbsent(other, unused -> new ArrayList<>());
    vmLeases.removeIf(old -> old.fraction <= fraction && old.untilNanos - untilNanos <= 0);
    vmLeases.add(new Lease(fraction, untilNanos));
  }

  /**
   * Returns the sum over all other VMs.
   *
   * @param nanos monotonic time
   * @return the fraction in effect at this time
   */
  public double totalAt(long nanos) {
    double total = 0;
    for (List<Lease> vmLeases : leases.values()) {
      total += largest(vmLeases, nanos);
    }
    return total;
  }

  /**
   * Returns the fraction of one other VM.
   *
   * @param other the other VM
   * @param nanos monotonic time
   * @return the fraction in effect at this time
   */
  public double fractionAt(VmId other, long nanos) {
    List<Lease> vmLeases = leases.get(other);
    return vmLeases == null ? 0 : largest(vmLeases, nanos);
  }

  private static double largest(List<Lease> vmLeases, long nanos) {
    double largest = 0;
    for (Lease lease : vmLeases) {
      if (lease.untilNanos - nanos > 0) {
        largest = Math.max(largest, lease.fraction);
      }
    }
    return largest;
  }

  /**
   * Returns the end times of all leases.
   *
   * @return monotonic times in no particular order
   */
  public List<Long> endTimes() {
    List<Long> endTimes = new ArrayList<>();
    leases.values().forEach(vmLeases -> vmLeases.forEach(lease -> endTimes.add(lease.untilNanos)));
    return endTimes;
  }

  /**
   * Removes leases that have ended.
   *
   * @param nowNanos monotonic time up to which the bucket is refilled
   */
  public void removeEnded(long nowNanos) {
    leases
        .values()
        .forEach(vmLeases -> vmLeases.removeIf(lease -> lease.untilNanos - nowNanos <= 0));
    leases.values().removeIf(List::isEmpty);
  }

  /** Removes all leases. */
  public void clear() {
    leases.clear();
  }

  /**
   * Returns whether no lease is recorded.
   *
   * @return whether there is none
   */
  public boolean isEmpty() {
    return leases.isEmpty();
  }

  private record Lease(double fraction, long untilNanos) {}
}
