package org.kumquatvane.limits.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.VmId;
import org.kumquatvane.limits.LeaseSettings;
import org.kumquatvane.membership.AgreedView;
import org.kumquatvane.membership.Vm;

/**
 * Fraction of every workspace that this VM owns: none, the floor share or the larger share of an
 * agreed view. Not thread-safe.
 *
 * <p>Keeps the recent changes, so that an idle bucket can be refilled with the fraction that was
 * owned at each time.
 */
public final class ShareTracker {
  private static final int MAXIMUM_CHANGES = 64;

  private final VmId self;
  private final long floorLeaseNanos;
  private final long historyNanos;
  private final long longestLeaseNanos;
  private final Deque<Change> changes = new ArrayDeque<>();
  private final Map<VmId, Long> lastSeen = new HashMap<>();
  private final Map<VmId, Long> departed = new HashMap<>();
  private int maximumVmCount;
  private long ownFromNanos;
  private boolean established;
  private long floorEndNanos;
  private @Nullable AgreedView view;
  private long viewEndNanos;
  private long viewsContinuousSinceNanos;

  /**
   * Creates a tracker that owns nothing.
   *
   * @param self this VM
   * @param settings lease durations
   * @param nowNanos monotonic time of the start of the process
   */
  public ShareTracker(VmId self, LeaseSettings settings, long nowNanos) {
    this.self = self;
    floorLeaseNanos = settings.floorLease().toNanos();
    longestLeaseNanos = LeaseSettings.extendForDrift(settings.lease().toNanos());
    historyNanos = LeaseSettings.extendForDrift(floorLeaseNanos) + longestLeaseNanos;
    restart(nowNanos);
  }

  /**
   * Drops all rights and owns nothing for the longest duration of a lease.
   *
   * <p>A process that this one replaces may have terminated after it lent its fraction. Its
   * borrowers use the fraction until the lease ends, and only then may this process own one.
   *
   * @param nowNanos monotonic time
   */
  public void restart(long nowNanos) {
    dropRights(nowNanos);
    ownFromNanos = nowNanos + longestLeaseNanos;
  }

  /**
   * Drops the view and the floor share, as after a pause.
   *
   * @param nowNanos monotonic time
   */
  public void dropRights(long nowNanos) {
    expire(nowNanos);
    view = null;
    established = false;
    recordChange(nowNanos, 0);
  }

  /**
   * Applies the document's bound on VM processes.
   *
   * @param count largest number of VM processes alive at once
   * @param nowNanos monotonic time
   */
  public void setMaximumVmCount(int count, long nowNanos) {
    expire(nowNanos);
    maximumVmCount = count;
    recordChange(nowNanos, computeFraction(nowNanos));
  }

  /**
   * Records that a VM announced its stop.
   *
   * @param vm the VM
   * @param nowNanos monotonic time
   */
  public void recordDeparture(VmId vm, long nowNanos) {
    departed.put(vm, nowNanos);
  }

  /**
   * Brings the owned fraction up to date; must be called before any query.
   *
   * @param current the view in force, or empty
   * @param nowNanos monotonic time
   */
  public void update(Optional<AgreedView> current, long nowNanos) {
    expire(nowNanos);
    if (current.isPresent() && current.get().validUntil().nanos() - nowNanos > 0) {
      applyView(current.get(), nowNanos);
    } else if (view != null) {
      dropView(view, nowNanos);
    }
    recordChange(nowNanos, computeFraction(nowNanos));
  }

  private void expire(long nowNanos) {
    if (view != null && viewEndNanos - nowNanos <= 0) {
      dropView(view, viewEndNanos);
    }
    if (established && view == null && floorEndNanos - nowNanos <= 0) {
      established = false;
      recordChange(floorEndNanos, 0);
    }
  }

  private void dropView(AgreedView lost, long atNanos) {
    view = null;
    floorEndNanos = atNanos + floorLeaseNanos;
    lost.members().forEach(vm -> lastSeen.put(vm.id(), atNanos));
    recordChange(atNanos, computeFraction(atNanos));
  }

  private void applyView(AgreedView current, long nowNanos) {
    if (!current.contains(self)) {
      return;
    }
    AgreedView previous = view;
    if (previous == null) {
      viewsContinuousSinceNanos = nowNanos;
      viewEndNanos = current.validUntil().nanos();
    } else if (previous.digest() == current.digest()) {
      viewEndNanos = Math.max(viewEndNanos, current.validUntil().nanos());
    } else {
      previous.members().forEach(vm -> lastSeen.put(vm.id(), nowNanos));
      viewEndNanos = current.validUntil().nanos();
    }
    view = current;
    established = true;
    floorEndNanos = viewEndNanos + floorLeaseNanos;
  }

  private double computeFraction(long nowNanos) {
    if (maximumVmCount <= 0 || !established || nowNanos - ownFromNanos < 0) {
      return 0;
    }
    AgreedView held = view;
    double floor = 1.0 / maximumVmCount;
    if (held == null) {
      return floor;
    }
    int size = held.members().size();
    return (maximumVmCount - countOwnersOutsideView(held, nowNanos))
        / ((double) maximumVmCount * size);
  }

  /** Counts processes outside the view that may still own a floor share or have lent one. */
  private int countOwnersOutsideView(AgreedView held, long nowNanos) {
    int maximum = Math.max(0, maximumVmCount - held.members().size());
    if (nowNanos - viewsContinuousSinceNanos < historyNanos) {
      return maximum;
    }
    int owners = 0;
    Iterator<Map.Entry<VmId, Long>> entries = lastSeen.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<VmId, Long> entry = entries.next();
      Long departedNanos = departed.get(entry.getKey());
      if (nowNanos - entry.getValue() >= historyNanos) {
        entries.remove();
        departed.remove(entry.getKey());
      } else if (!held.contains(entry.getKey())
          && (departedNanos == null || nowNanos - departedNanos < longestLeaseNanos)) {
        owners++;
      }
    }
    return Math.min(owners, maximum);
  }

  private void recordChange(long nanos, double fraction) {
    Change last = changes.peekLast();
    if (last != null && last.fraction == fraction) {
      return;
    }
    changes.addLast(new Change(last == null ? nanos : Math.max(nanos, last.nanos), fraction));
    if (changes.size() > MAXIMUM_CHANGES) {
      changes.removeFirst();
    }
  }

  /**
   * Returns the owned fraction now.
   *
   * @return 0 to 1
   */
  public double owned() {
    Change last = changes.peekLast();
    return last == null ? 0 : last.fraction;
  }

  /**
   * Returns the owned fraction at a time in the past.
   *
   * @param nanos monotonic time
   * @return 0 to 1; 0 for a time before the recorded changes
   */
  public double ownedAt(long nanos) {
    Iterator<Change> newestFirst = changes.descendingIterator();
    while (newestFirst.hasNext()) {
      Change change = newestFirst.next();
      if (change.nanos - nanos <= 0) {
        return change.fraction;
      }
    }
    return 0;
  }

  /**
   * Returns the fraction that this VM will own at a later time even if the view is not renewed.
   *
   * @param nanos monotonic time, not before the last update
   * @return 0 to 1
   */
  public double guaranteedAt(long nanos) {
    if (!established) {
      return 0;
    }
    if (view != null && viewEndNanos - nanos > 0) {
      return owned();
    }
    return floorEndNanos - nanos > 0 ? Math.min(owned(), 1.0 / maximumVmCount) : 0;
  }

  /**
   * Returns the times at which {@link #guaranteedAt} decreases.
   *
   * @return monotonic times
   */
  public List<Long> guaranteeEnds() {
    return view == null ? List.of(floorEndNanos) : List.of(viewEndNanos, floorEndNanos);
  }

  /**
   * Returns the times at which the owned fraction changed.
   *
   * @param fromNanos times after this one
   * @param toNanos up to and including this one
   * @return monotonic times in ascending order
   */
  public List<Long> changesBetween(long fromNanos, long toNanos) {
    List<Long> changeTimes = new ArrayList<>();
    for (Change change : changes) {
      if (change.nanos - fromNanos > 0 && change.nanos - toNanos <= 0) {
        changeTimes.add(change.nanos);
      }
    }
    return changeTimes;
  }

  /**
   * Returns the earliest time for which {@link #ownedAt} has the fraction.
   *
   * @return monotonic time
   */
  public long historyStart() {
    Change first = changes.peekFirst();
    return first == null ? ownFromNanos : first.nanos;
  }

  /**
   * Returns whether this VM owns a fraction now.
   *
   * @return whether it is established and past its waiting time
   */
  public boolean ownsFraction() {
    return owned() > 0;
  }

  /**
   * Returns the members of the agreed view.
   *
   * @return the members, or empty without a view
   */
  public List<Vm> viewMembers() {
    return view == null ? List.of() : view.members();
  }

  private record Change(long nanos, double fraction) {}
}
