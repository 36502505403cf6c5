package org.kumquatvane.selection;

/** Uses every free slot; the baseline that the adaptive limit is measured against. */
public final class NoSlotLimit implements SlotLimit {
  @Override
  public boolean mayTake(int inUse) {
    return true;
  }

  @Override
  public void shed(int inUse) {}

  @Override
  public void released(int inUse) {}
}
