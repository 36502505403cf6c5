package org.kumquatvane.operations.internal;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.kumquatvane.core.VmId;
import org.kumquatvane.operations.OperationFinish;

/** One {@link OperationFinish} that is sent until its holders acknowledge it. Not thread-safe. */
public final class FinishJob {
  private static final int LONGEST_TRIES = 7;

  private final OperationFinish message;
  private final Set<VmId> open = new HashSet<>();
  private final Set<VmId> acknowledged = new HashSet<>();
  private int tries;

  /**
   * Creates a job.
   *
   * @param message the message
   * @param holders the VMs that may have recorded the attempt
   */
  public FinishJob(OperationFinish message, Collection<VmId> holders) {
    this.message = message;
    add(holders);
  }

  /**
   * Adds holders of a newer view.
   *
   * @param holders VMs that must know the result
   */
  public void add(Collection<VmId> holders) {
    open.addAll(holders);
    open.removeAll(acknowledged);
  }

  /**
   * Records an acknowledgement.
   *
   * @param holder the VM that has recorded the result
   */
  public void acknowledged(VmId holder) {
    acknowledged.add(holder);
    open.remove(holder);
  }

  /**
   * Counts a try.
   *
   * @return whether to send the message again
   */
  public boolean tryAgain() {
    return !open.isEmpty() && tries++ < LONGEST_TRIES;
  }

  /**
   * Returns the number of tries.
   *
   * @return tries so far
   */
  public int tries() {
    return tries;
  }

  /**
   * Returns the VMs that have not acknowledged.
   *
   * @return their names
   */
  public Set<VmId> open() {
    return Set.copyOf(open);
  }

  /**
   * Returns the message.
   *
   * @return the message
   */
  public OperationFinish message() {
    return message;
  }
}
