package org.kumquatvane.limits.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.kumquatvane.core.VmId;

/**
 * Fractions of one workspace in one direction, lent or borrowed, by the other VM. Not thread-safe.
 *
 * <p>A grant states the total that the borrower holds until a deadline, not an addition: at each
 * moment the largest grant counts whose deadline is not reached. The lender records every grant
 * with a later deadline than the borrower does, so lost, doubled and late grants leave the lender
 * with at least what the borrower uses.
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
   * @return the fraction that counts at this moment
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
   * @return the fraction that counts at this moment
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
   * Returns the deadlines of all leases.
   *
   * @return monotonic times in no order
   */
  public List<Long> endTimes() {
    List<Long> endTimes = new ArrayList<>();
    leases.values().forEach(vmLeases -> vmLeases.forEach(lease -> endTimes.add(lease.untilNanos)));
    return endTimes;
  }

  /**
   * Forgets leases that have ended.
   *
   * @param nowNanos monotonic time up to which the bucket is settled
   */
  public void removeEnded(long nowNanos) {
    leases
        .values()
        .forEach(vmLeases -> vmLeases.removeIf(lease -> lease.untilNanos - nowNanos <= 0));
    leases.values().removeIf(List::isEmpty);
  }

  /** Forgets all leases. */
  public void clear() {
    leases.clear();
  }

  /**
   * Tells whether any lease is recorded.
   *
   * @return whether there is none
   */
  public boolean isEmpty() {
    return leases.isEmpty();
  }

  private record Lease(double fraction, long untilNanos) {}
}
