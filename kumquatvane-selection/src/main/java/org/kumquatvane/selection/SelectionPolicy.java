package org.kumquatvane.selection;

/** Chooses one of the instances that have a free slot; called under the pool's lock. */
public interface SelectionPolicy {
  /** Returned when no instance is open. */
  int NONE = -1;

  /**
   * Chooses an instance.
   *
   * @param candidates all instances of the service
   * @return index of the chosen one, which is open, or {@link #NONE}
   */
  int choose(Candidates candidates);
}
