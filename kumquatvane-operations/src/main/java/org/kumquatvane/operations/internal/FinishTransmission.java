package org.kumquatvane.operations.internal;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.kumquatvane.core.VmId;
import org.kumquatvane.operations.OperationFinish;

/**
 * Transmission of one {@link OperationFinish} until all its holders have acknowledged it. Not
 * thread-safe.
 */
public final class FinishTransmission {
  private static final int MAXIMUM_TRANSMISSIONS = 7;

  private final OperationFinish message;
  private final Set<VmId> unacknowledged = new HashSet<>();
  private final Set<VmId> acknowledged = new HashSet<>();
  private int transmissions;

  /**
   * Creates a transmission.
   *
   * @param message the message
   * @param holders the VMs that may have recorded the attempt
   */
  public FinishTransmission(OperationFinish message, Collection<VmId> holders) {
    this.message = message;
    addHolders(holders);
  }

  /**
   * Adds holders of a newer view.
   *
   * @param holders VMs that must receive the result
   */
  public void addHolders(Collection<VmId> holders) {
    unacknowledged.addAll(holders);
    unacknowledged.removeAll(acknowledged);
  }

  /**
   * Records an acknowledgement.
   *
   * @param holder the VM that has recorded the result
   */
  public void recordAcknowledgement(VmId holder) {
    acknowledged.add(holder);
    unacknowledged.remove(holder);
  }

  /**
   * Counts a transmission if the message must be sent again.
   *
   * @return whether to send the message again
   */
  public boolean startTransmission() {
    return !unacknowledged.isEmpty() && transmissions++ < MAXIMUM_TRANSMISSIONS;
  }

  /**
   * Returns the number of transmissions.
   *
   * @return transmissions so far
   */
  public int transmissions() {
    return transmissions;
  }

  /**
   * Returns the VMs that have not acknowledged the message.
   *
   * @return their names
   */
  public Set<VmId> unacknowledged() {
    return Set.copyOf(unacknowledged);
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
