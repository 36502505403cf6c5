package org.kumquatvane.membership;

/**
 * A VM of the fleet as some VM has heard of it last.
 *
 * @param vm name, address and failure domain; leaving once it has begun its planned stop
 * @param incarnation time of day of the process's start in milliseconds
 * @param heartbeat counter that the process raises while it runs
 */
public record Member(Vm vm, long incarnation, long heartbeat) {
  /**
   * Tells whether this entry replaces another one of the same VM.
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
