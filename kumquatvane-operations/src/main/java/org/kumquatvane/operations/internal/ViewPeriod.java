package org.kumquatvane.operations.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.AgreedView;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.operations.EndedView;
import org.kumquatvane.operations.OperationTransfer;
import org.kumquatvane.operations.TransferComplete;
import org.kumquatvane.operations.ViewMember;

/**
 * One uninterrupted time under an agreed view, and since when this VM would know of every run of a
 * key that it holds. Not thread-safe.
 *
 * <p>At first the horizon is the start of the era. It moves back once every member has sent its
 * records, if for each view that a member held before, every key has a holder among the members
 * whose last view it was. Views that no member held cannot have been in force since the time at
 * which more than half of the maximum count of the members were running, because such a view and
 * those members would have had a VM in common.
 */
public final class ViewPeriod {
  private final AgreedView view;
  private final long maximumSkewMillis;
  private final long startHorizonMillis;
  private final @Nullable EndedView previous;
  private final Map<VmId, Long> rounds = new HashMap<>();
  private final Map<VmId, TransferComplete> completionMessages = new HashMap<>();
  private final Map<VmId, Set<Integer>> parts = new HashMap<>();
  private final Map<VmId, TransferComplete> completions = new HashMap<>();
  private long endNanos;
  private long horizonMillis;
  private boolean settled;

  /**
   * Starts an era.
   *
   * @param view the view
   * @param previous this VM's last view, or null
   * @param nowMillis wall-clock time
   * @param maximumSkewMillis largest difference between two wall clocks
   */
  public ViewPeriod(
      AgreedView view, @Nullable EndedView previous, long nowMillis, long maximumSkewMillis) {
    this.view = view;
    this.previous = previous;
    this.maximumSkewMillis = maximumSkewMillis;
    endNanos = view.validUntil().nanos();
    startHorizonMillis = horizonFor(nowMillis);
    horizonMillis = startHorizonMillis;
  }

  /** A key accepted before a moment carries a time at most this much later. */
  private long horizonFor(long millis) {
    return millis + 2 * maximumSkewMillis;
  }

  /**
   * Takes a renewed view.
   *
   * @param renewed the view now in force
   * @param nowNanos monotonic time
   * @return whether it continues this era without a gap
   */
  public boolean extendWith(AgreedView renewed, long nowNanos) {
    if (renewed.digest() != view.digest() || endNanos - nowNanos <= 0) {
      return false;
    }
    endNanos = Math.max(endNanos, renewed.validUntil().nanos());
    return true;
  }

  /**
   * Tells whether the era has ended.
   *
   * @param nowNanos monotonic time
   * @return whether the view is no longer valid
   */
  public boolean hasEnded(long nowNanos) {
    return endNanos - nowNanos <= 0;
  }

  /**
   * Starts a round for one member; what arrives of an earlier round no longer counts, since its
   * parts may have been cut differently.
   *
   * @param member the member
   * @param round number of the round
   */
  public void startRound(VmId member, long round) {
    rounds.put(member, round);
    parts.remove(member);
    completionMessages.remove(member);
  }

  /**
   * Records a part of a member's records.
   *
   * @param sender the member
   * @param transfer the part
   * @param maximumVmCount most processes alive at once
   */
  public void recordTransfer(VmId sender, OperationTransfer transfer, int maximumVmCount) {
    if (isCurrent(sender, transfer.round())) {
      parts.computeIfAbsent(sender, unused -> new HashSet<>()).add(transfer.part());
      updateCompletion(sender, maximumVmCount);
    }
  }

  /**
   * Records that a member has sent everything.
   *
   * @param sender the member
   * @param completion its completion
   * @param maximumVmCount most processes alive at once
   */
  public void recordCompletion(VmId sender, TransferComplete completion, int maximumVmCount) {
    if (isCurrent(sender, completion.round())) {
      completionMessages.put(sender, completion);
      updateCompletion(sender, maximumVmCount);
    }
  }

  private boolean isCurrent(VmId sender, long round) {
    return Long.valueOf(round).equals(rounds.get(sender));
  }

  private void updateCompletion(VmId sender, int maximumVmCount) {
    TransferComplete completion = completionMessages.get(sender);
    if (completion == null || parts.getOrDefault(sender, Set.of()).size() < completion.parts()) {
      return;
    }
    completions.put(sender, completion);
    if (!settled && missingMembers().isEmpty()) {
      settled = true;
      horizonMillis = Math.min(startHorizonMillis, settledHorizon(maximumVmCount));
    }
  }

  /**
   * Returns the members whose records have not arrived.
   *
   * @return their names
   */
  public List<VmId> missingMembers() {
    return view.members().stream()
        .map(Vm::id)
        .filter(vm -> !completions.containsKey(vm))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private long settledHorizon(int maximumVmCount) {
    long[] started =
        completions.values().stream().mapToLong(TransferComplete::startedMillis).sorted().toArray();
    int majority = maximumVmCount / 2;
    if (started.length <= majority) {
      return startHorizonMillis;
    }
    long horizon = horizonFor(Arrays.copyOf(started, majority + 1)[majority]);
    Map<Long, EndedView> earlier = new HashMap<>();
    for (TransferComplete completion : completions.values()) {
      EndedView ended = completion.previous();
      if (ended != null) {
        earlier.put(ended.digest(), ended);
      }
    }
    for (EndedView ended : earlier.values()) {
      horizon = Math.max(horizon, inheritedHorizon(ended));
    }
    return horizon;
  }

  /** The horizon that the members of an earlier view pass on, if each key has a holder left. */
  private long inheritedHorizon(EndedView ended) {
    long horizon = Long.MIN_VALUE;
    List<ViewMember> missing = new ArrayList<>();
    for (ViewMember member : ended.members()) {
      TransferComplete completion = completions.get(member.vm());
      EndedView last = completion == null ? null : completion.previous();
      if (last != null && last.digest() == ended.digest()) {
        horizon = Math.max(horizon, last.horizonMillis());
      } else if (completion != null && ended.digest() == view.digest()) {
        horizon = Math.max(horizon, completion.horizonMillis());
      } else {
        missing.add(member);
      }
    }
    return everyKeyHasRemainingHolder(ended.members(), missing) ? horizon : startHorizonMillis;
  }

  /** Two holders are in two failure domains if there are two, so one lost domain loses one. */
  private static boolean everyKeyHasRemainingHolder(
      List<ViewMember> members, List<ViewMember> missing) {
    long lostDomains = missing.stream().map(ViewMember::failureDomain).distinct().count();
    long domains = members.stream().map(ViewMember::failureDomain).distinct().count();
    return missing.isEmpty()
        || (members.size() > 1 && missing.size() == 1)
        || (domains > 1 && lostDomains == 1);
  }

  /**
   * Returns the horizon.
   *
   * @return keys with a later time are known if this VM is their holder
   */
  public long horizonMillis() {
    return horizonMillis;
  }

  /**
   * Tells whether the horizon can still move back.
   *
   * @return whether all members' records have arrived
   */
  public boolean isSettled() {
    return settled;
  }

  /**
   * Returns the view.
   *
   * @return the view as first agreed
   */
  public AgreedView view() {
    return view;
  }

  /**
   * Returns this VM's last view before this era.
   *
   * @return the view, or null if there was none
   */
  public @Nullable EndedView previous() {
    return previous;
  }

  /**
   * Describes this era after its end.
   *
   * @param evictedMillis latest key time whose record may be forgotten
   * @return the ended view
   */
  public EndedView toEndedView(long evictedMillis) {
    return new EndedView(
        view.digest(),
        view.members().stream().map(vm -> new ViewMember(vm.id(), vm.failureDomain())).toList(),
        Math.max(horizonMillis, evictedMillis));
  }
}
