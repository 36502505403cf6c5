package org.kumquatvane.operations.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;
import org.kumquatvane.operations.AttemptId;
import org.kumquatvane.operations.BeginVerdict;
import org.kumquatvane.operations.HolderReply;
import org.kumquatvane.operations.Operation;

/**
 * One caller's request for an operation at the VM that serves it, until its verdict. Not
 * thread-safe.
 */
public final class PendingOperation {
  private final Operation operation;
  private final Deadline deadline;
  private final Consumer<BeginVerdict> verdict;
  private final Map<VmId, HolderReply> replies = new HashMap<>();
  private final Set<VmId> queriedHolders = new HashSet<>();
  private AttemptId attempt;
  private long viewDigest;
  private long periodNumber;
  private List<VmId> holders = List.of();
  private int polls;
  private boolean firstHolderOnly;

  /**
   * Creates a coordination that has asked no holder.
   *
   * @param operation the operation
   * @param attempt name of the first try
   * @param deadline when the caller stops waiting
   * @param verdict receives the verdict
   */
  public PendingOperation(
      Operation operation, AttemptId attempt, Deadline deadline, Consumer<BeginVerdict> verdict) {
    this.operation = operation;
    this.attempt = attempt;
    this.deadline = deadline;
    this.verdict = verdict;
  }

  /**
   * Uses the holders of a view; answers under another view, or before a gap, are void.
   *
   * @param digest digest of the view
   * @param number number of the uninterrupted time under the view
   * @param chosen the holders under it
   */
  public void setView(long digest, long number, List<VmId> chosen) {
    if (number != periodNumber) {
      periodNumber = number;
      viewDigest = digest;
      holders = chosen;
      replies.clear();
    }
  }

  /**
   * Tells whether the answers so far belong to an uninterrupted time under a view.
   *
   * @param number its number
   * @return whether it is the one in which the holders were asked
   */
  public boolean isInPeriod(long number) {
    return number == periodNumber;
  }

  /**
   * Returns the holders to ask now. While another attempt is in progress at the first holder, the
   * second one is left alone, so that two attempts cannot block each other.
   *
   * @return their names
   */
  public List<VmId> holdersToQuery() {
    List<VmId> missing =
        holders.stream().filter(vm -> !(replies.get(vm) instanceof HolderReply.Granted)).toList();
    List<VmId> now = firstHolderOnly ? holders.subList(0, Math.min(1, holders.size())) : missing;
    queriedHolders.addAll(now);
    return now;
  }

  /**
   * Records an answer.
   *
   * @param holder the holder
   * @param digest the view under which it answered
   * @param reply the answer
   * @return whether the answer counts
   */
  public boolean recordReply(VmId holder, long digest, HolderReply reply) {
    if (digest != viewDigest || !holders.contains(holder)) {
      return false;
    }
    replies.put(holder, reply);
    return true;
  }

  /**
   * Tells whether all holders answered fresh under the same view.
   *
   * @return whether the operation may run
   */
  public boolean isGrantedByAll() {
    return !holders.isEmpty()
        && holders.stream().allMatch(vm -> replies.get(vm) instanceof HolderReply.Granted);
  }

  /**
   * Returns an answer that ends the coordination without a run.
   *
   * @return the answer, or null
   */
  public @Nullable HolderReply finalReply() {
    HolderReply finalReply = null;
    for (HolderReply reply : replies.values()) {
      boolean isFirstReply = finalReply == null;
      if (reply instanceof HolderReply.Ended
          || reply instanceof HolderReply.Conflict
          || (reply instanceof HolderReply.Unknown && isFirstReply)) {
        finalReply = reply;
      }
    }
    return finalReply;
  }

  /**
   * Tells whether another attempt is in progress at the first holder, while this one may be
   * recorded at the second.
   *
   * @return whether this attempt must give way
   */
  public boolean mustYield() {
    return !firstHolderOnly
        && !holders.isEmpty()
        && replies.get(holders.get(0)) instanceof HolderReply.InProgress;
  }

  /**
   * Starts a new try that asks the first holder only.
   *
   * @param next name of the new try
   */
  public void restartAtFirstHolder(AttemptId next) {
    attempt = next;
    replies.clear();
    queriedHolders.clear();
    firstHolderOnly = true;
  }

  /**
   * Lets the second holder be asked once the first one has answered fresh.
   *
   * @return whether it is to be asked now
   */
  public boolean continueAfterFirstHolder() {
    if (firstHolderOnly && replies.get(holders.get(0)) instanceof HolderReply.Granted) {
      firstHolderOnly = false;
      return true;
    }
    return false;
  }

  /**
   * Counts a poll.
   *
   * @return number of polls so far
   */
  public int countPoll() {
    return polls++;
  }

  /**
   * Returns the operation.
   *
   * @return the operation
   */
  public Operation operation() {
    return operation;
  }

  /**
   * Returns the current try.
   *
   * @return its name
   */
  public AttemptId attempt() {
    return attempt;
  }

  /**
   * Returns when the caller stops waiting.
   *
   * @return the deadline
   */
  public Deadline deadline() {
    return deadline;
  }

  /**
   * Returns the receiver of the verdict.
   *
   * @return the receiver
   */
  public Consumer<BeginVerdict> verdict() {
    return verdict;
  }

  /**
   * Returns the view under which the answers count.
   *
   * @return its digest
   */
  public long viewDigest() {
    return viewDigest;
  }

  /**
   * Returns the VMs that may have recorded the current try.
   *
   * @return their names
   */
  public Set<VmId> queriedHolders() {
    return queriedHolders;
  }
}
