package org.kumquatvane.selection;

/** Chooses instances in turn; the baseline that other ways are measured against. */
public final class RoundRobinSelection implements SelectionPolicy {
  private int turn;

  @Override
  public int choose(Candidates candidates) {
    int size = candidates.size();
    for (int skipped = 0; skipped < size; skipped++) {
      int index = Math.floorMod(turn, size);
      turn++;
      if (candidates.isOpen(index)) {
        return index;
      }
    }
    return NONE;
  }
}
