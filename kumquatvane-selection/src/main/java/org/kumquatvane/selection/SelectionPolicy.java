package org.kumquatvane.selection;

import java.util.List;

/** Chooses one of the instances that have a free slot. */
public interface SelectionPolicy {
  /**
   * Chooses an instance.
   *
   * @param candidates instances with a free slot, in a stable order; not empty
   * @return index of the chosen one
   */
  int choose(List<Candidate> candidates);
}
