package org.kumquatvane.selection;

/** Selects instances in round-robin order; baseline for comparisons with other policies. */
public final class RoundRobinSelection implements SelectionPolicy {
  private int nextIndex;

  @Override
  public int choose(Candidates candidates) {
    int size = candidates.size();
    for (int skipped = 0; skipped < size; skipped++) {
      int index = Math.floorMod(nextIndex, size);
      nextIndex++;
      if (candidates.isSelectable(index)) {
        return index;
      }
    }
    return NONE;
  }
}
