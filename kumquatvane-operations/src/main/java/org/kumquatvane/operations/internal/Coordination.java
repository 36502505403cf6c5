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
import org.kumquatvane.operations.HolderAnswer;
import org.kumquatvane.operations.Operation;

/**
 * One caller's request for an operation at the VM that serves it, until its verdict. Not
 * thread-safe.
 */
public final class Coordination {
  private final Operation operation;
  private final Deadline deadline;
  private final Consumer<BeginVerdict> verdict;
  private final Map<VmId, HolderAnswer> answers = new HashMap<>();
  private final Set<VmId> asked = new HashSet<>();
  private AttemptId attempt;
  private long viewDigest;
  private long eraNumber;
  private List<VmId> holders = List.of();
  private int polls;
  private boolean onlyFirst;

  /**
   * Creates a coordination that has asked no holder.
   *
   * @param operation the operation
   * @param attempt name of the first try
   * @param deadline when the caller stops waiting
   * @param verdict receives the verdict
   */
  public Coordination(
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
  public void useView(long digest, long number, List<VmId> chosen) {
    if (number != eraNumber) {
      eraNumber = number;
      viewDigest = digest;
      holders = chosen;
      answers.clear();
    }
  }

  /**
   * Tells whether the answers so far belong to an uninterrupted time under a view.
   *
   * @param number its number
   * @return whether it is the one in which the holders were asked
   */
  public boolean isInEra(long number) {
    return number == eraNumber;
  }

  /**
   * Returns the holders to ask now. While another attempt is in progress at the first holder, the
   * second one is left alone, so that two attempts cannot block each other.
   *
   * @return their names
   */
  public List<VmId> toAsk() {
    List<VmId> missing =
        holders.stream().filter(vm -> !(answers.get(vm) instanceof HolderAnswer.Fresh)).toList();
    List<VmId> now = onlyFirst ? holders.subList(0, Math.min(1, holders.size())) : missing;
    asked.addAll(now);
    return now;
  }

  /**
   * Records an answer.
   *
   * @param holder the holder
   * @param digest the view under which it answered
   * @param answer the answer
   * @return whether the answer counts
   */
  public boolean answered(VmId holder, long digest, HolderAnswer answer) {
    if (digest != viewDigest || !holders.contains(holder)) {
      return false;
    }
    answers.put(holder, answer);
    return true;
  }

  /**
   * Tells whether all holders answered fresh under the same view.
   *
   * @return whether the operation may run
   */
  public boolean isFresh() {
    return !holders.isEmpty()
        && holders.stream().allMatch(vm -> answers.get(vm) instanceof HolderAnswer.Fresh);
  }

  /**
   * Returns an answer that ends the coordination without a run.
   *
   * @return the answer, or null
   */
  public @Nullable HolderAnswer ending() {
    HolderAnswer ending = null;
    for (HolderAnswer answer : answers.values()) {
      boolean isFirst = ending == null;
      if (answer instanceof HolderAnswer.Ended
          || answer instanceof HolderAnswer.Conflict
          || (answer instanceof HolderAnswer.Unknown && isFirst)) {
        ending = answer;
      }
    }
    return ending;
  }

  /**
   * Tells whether another attempt is in progress at the first holder, while this one may be
   * recorded at the second.
   *
   * @return whether this attempt must give way
   */
  public boolean mustGiveWay() {
    return !onlyFirst
        && !holders.isEmpty()
        && answers.get(holders.get(0)) instanceof HolderAnswer.InProgress;
  }

  /**
   * Starts a new try that asks the first holder only.
   *
   * @param next name of the new try
   */
  public void giveWay(AttemptId next) {
    attempt = next;
    answers.clear();
    asked.clear();
    onlyFirst = true;
  }

  /**
   * Lets the second holder be asked once the first one has answered fresh.
   *
   * @return whether it is to be asked now
   */
  public boolean firstIsFresh() {
    if (onlyFirst && answers.get(holders.get(0)) instanceof HolderAnswer.Fresh) {
      onlyFirst = false;
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
  public Set<VmId> asked() {
    return asked;
  }
}
