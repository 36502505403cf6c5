package org.kumquatvane.selection;

/**
 * The instances of a service as a policy sees them, by index in a stable order. A view of the
 * pool's table, so that a choice allocates nothing; valid only during the call.
 */
public interface Candidates {
  /**
   * Returns the number of instances, open or not.
   *
   * @return size of the index
   */
  int size();

  /**
   * Tells whether an instance may be chosen: eligible, not leaving, not excluded, with a free slot.
   *
   * @param index index of the instance
   * @return whether it may be chosen
   */
  boolean isSelectable(int index);

  /**
   * Returns how many slots of an instance this VM uses.
   *
   * @param index index of the instance
   * @return slots in use
   */
  int slotsInUse(int index);

  /**
   * Returns the share of an ordinary instance's requests that an instance is to get.
   *
   * @param index index of the instance
   * @return 1 for a warm instance, less during its warm-up
   */
  double warmUpShare(int index);

  /**
   * Tells whether an instance is in this VM's failure domain.
   *
   * @param index index of the instance
   * @return whether a request stays within the failure domain
   */
  boolean isLocal(int index);
}
