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

/** Pending request to begin an operation, at the VM that serves the caller. Not thread-safe. */
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
   * Creates a request for which no holder has been queried.
   *
   * @param operation the operation
   * @param attempt id of the first attempt
   * @param deadline time at which the caller stops waiting
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
   * Sets the holders of a view period; replies of an earlier period are discarded.
   *
   * @param digest digest of the view
   * @param number number of the period
   * @param chosen the holders under the view
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
   * Returns whether the replies so far belong to a view period.
   *
   * @param number number of the period
   * @return whether the holders were queried in this period
   */
  public boolean isInPeriod(long number) {
    return number == periodNumber;
  }

  /**
   * Returns the holders to query now. While another attempt is in progress at the first holder, the
   * second one is not queried, so that two attempts cannot block each other.
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
   * Records a reply.
   *
   * @param holder the holder
   * @param digest the view under which it replied
   * @param reply the reply
   * @return whether the reply counts
   */
  public boolean recordReply(VmId holder, long digest, HolderReply reply) {
    if (digest != viewDigest || !holders.contains(holder)) {
      return false;
    }
    replies.put(holder, reply);
    return true;
  }

  /**
   * Returns whether all holders have granted the operation under the same view.
   *
   * @return whether the operation may run
   */
  public boolean isGrantedByAll() {
    return !holders.isEmpty()
        && holders.stream().allMatch(vm -> replies.get(vm) instanceof HolderReply.Granted);
  }

  /**
   * Returns a reply that ends the request without a run.
   *
   * @return the reply, or null
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
   * Returns whether another attempt is in progress at the first holder, while this one may be
   * recorded at the second.
   *
   * @return whether this attempt must yield to the other one
   */
  public boolean mustYield() {
    return !firstHolderOnly
        && !holders.isEmpty()
        && replies.get(holders.get(0)) instanceof HolderReply.InProgress;
  }

  /**
   * Starts a new attempt that queries only the first holder.
   *
   * @param next id of the new attempt
   */
  public void restartAtFirstHolder(AttemptId next) {
    attempt = next;
    replies.clear();
    queriedHolders.clear();
    firstHolderOnly = true;
  }

  /**
   * Enables queries of the second holder once the first one has granted the operation.
   *
   * @return whether the second holder must be queried now
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
   * Returns the current attempt.
   *
   * @return its id
   */
  public AttemptId attempt() {
    return attempt;
  }

  /**
   * Returns the time at which the caller stops waiting.
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
   * Returns the view under which the replies count.
   *
   * @return its digest
   */
  public long viewDigest() {
    return viewDigest;
  }

  /**
   * Returns the VMs that may have recorded the current attempt.
   *
   * @return their names
   */
  public Set<VmId> queriedHolders() {
    return queriedHolders;
  }
}
