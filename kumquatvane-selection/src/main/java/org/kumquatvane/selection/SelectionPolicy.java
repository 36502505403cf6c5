package org.kumquatvane.selection;

/** Selects one of the instances that have a free slot; called under the pool's lock. */
public interface SelectionPolicy {
  /** Returned when no instance is selectable. */
  int NONE = -1;

  /**
   * Selects an instance.
   *
   * @param candidates all instances of the service
   * @return index of a selectable instance, or {@link #NONE}
   */
  int choose(Candidates candidates);
}
