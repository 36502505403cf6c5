package org.kumquatvane.membership;

/**
 * Gossip entry of a VM.
 *
 * @param vm name, address and failure domain; its state is leaving once it has begun its planned
 *     stop
 * @param incarnation start time of the process, milliseconds since the Unix epoch
 * @param heartbeat counter that the process increments in each gossip interval
 */
public record Member(Vm vm, long incarnation, long heartbeat) {
  /**
   * Returns whether this entry supersedes another one of the same VM.
   *
   * @param other the other entry
   * @return whether this one is newer
   */
  public boolean isNewerThan(Member other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : heartbeat > other.heartbeat;
  }
}
