package org.kumquatvane.membership;

import java.util.List;

/** Scope of a fleet that forms a single cell. */
public final class WholeFleetScope implements VmScope {
  @Override
  public List<Vm> select(List<Vm> entryVms) {
    return entryVms;
  }
}
