package org.kumquatvane.selection;

/**
 * Indexed view of the instances of a service for a selection policy, in a stable order. It reads
 * the pool's table directly, so that a selection allocates nothing, and is valid only during the
 * call.
 */
public interface Candidates {
  /**
   * Returns the number of instances, whether or not they are selectable.
   *
   * @return size of the index
   */
  int size();

  /**
   * Returns whether an instance can be selected: it is eligible, not leaving, not excluded and has
   * a free slot.
   *
   * @param index index of the instance
   * @return whether it can be selected
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
   * Returns the share of requests that an instance should get, relative to a warm instance.
   *
   * @param index index of the instance
   * @return 1 for a warm instance, less during warm-up
   */
  double warmUpShare(int index);

  /**
   * Returns whether an instance is in this VM's failure domain.
   *
   * @param index index of the instance
   * @return whether a request stays within the failure domain
   */
  boolean isLocal(int index);
}
