package org.kumquatvane.selection;

/** Allows every free slot to be used; baseline for comparisons with the adaptive limit. */
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
