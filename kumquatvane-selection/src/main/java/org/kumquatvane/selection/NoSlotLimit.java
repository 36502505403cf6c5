package org.kumquatvane.selection;

/** Uses every free slot; the baseline that the adaptive limit is measured against. */
public final class NoSlotLimit implements SlotLimit {
  @Override
  public boolean canAcquire(int inUse) {
    return true;
  }

  @Override
  public void onShed(int inUse) {}

  @Override
  public void onReleased(int inUse) {}
}
