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
 * Uninterrupted period under an agreed view, with its horizon: this VM knows of every run of the
 * keys that it holds, if their creation time is later than the horizon. Not thread-safe.
 *
 * <p>Initially the horizon is the start of the period. It moves back once every member has sent its
 * records, provided that for each view that a member held before, every key has a holder among the
 * members whose last view it was. A view that no member held cannot have been in force since the
 * time at which members numbering more than half of the maximum VM count were running, because such
 * a view would have shared a VM with those members.
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
   * Starts a period.
   *
   * @param view the view
   * @param previous this VM's last view, or null
   * @param nowMillis wall-clock time
   * @param maximumSkewMillis maximum difference between two wall clocks
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

  /** Returns the latest creation time that a key accepted before a given time can have. */
  private long horizonFor(long millis) {
    return millis + 2 * maximumSkewMillis;
  }

  /**
   * Extends the period if a renewed view continues it.
   *
   * @param renewed the view now in force
   * @param nowNanos monotonic time
   * @return whether the view continues this period without a gap
   */
  public boolean extendWith(AgreedView renewed, long nowNanos) {
    if (renewed.digest() != view.digest() || endNanos - nowNanos <= 0) {
      return false;
    }
    endNanos = Math.max(endNanos, renewed.validUntil().nanos());
    return true;
  }

  /**
   * Returns whether the period has ended.
   *
   * @param nowNanos monotonic time
   * @return whether the view is no longer valid
   */
  public boolean hasEnded(long nowNanos) {
    return endNanos - nowNanos <= 0;
  }

  /**
   * Starts a transfer round for one member. Messages of an earlier round no longer count, since its
   * records may have been divided into different parts.
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
   * @param maximumVmCount maximum number of processes that run at the same time
   */
  public void recordTransfer(VmId sender, OperationTransfer transfer, int maximumVmCount) {
    if (isCurrent(sender, transfer.round())) {
      parts.computeIfAbsent(sender, unused -> new HashSet<>()).add(transfer.part());
      updateCompletion(sender, maximumVmCount);
    }
  }

  /**
   * Records that a member has sent all its records.
   *
   * @param sender the member
   * @param completion its completion message
   * @param maximumVmCount maximum number of processes that run at the same time
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

  /**
   * Returns the horizon inherited from an earlier view, if each of its keys has a remaining holder.
   */
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

  /**
   * The two holders are in different failure domains if possible, so the loss of one domain loses
   * only one of them.
   */
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
   * @return creation time after which all runs of the held keys are known, milliseconds since the
   *     Unix epoch
   */
  public long horizonMillis() {
    return horizonMillis;
  }

  /**
   * Returns whether the horizon is final.
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
   * Returns this VM's last view before this period.
   *
   * @return the view, or null if there was none
   */
  public @Nullable EndedView previous() {
    return previous;
  }

  /**
   * Returns the summary of this period after its end.
   *
   * @param evictedMillis latest creation time of a key whose record may have been evicted
   * @return the ended view
   */
  public EndedView toEndedView(long evictedMillis) {
    return new EndedView(
        view.digest(),
        view.members().stream().map(vm -> new ViewMember(vm.id(), vm.failureDomain())).toList(),
        Math.max(horizonMillis, evictedMillis));
  }
}
