package org.kumquatvane.testing;

import org.kumquatvane.core.Invariant;
import org.kumquatvane.core.InvariantMonitor;

/** Fails the test at the first violated invariant. */
public final class FailingInvariantMonitor implements InvariantMonitor {
  @Override
  public void violated(Invariant invariant, String detail) {
    throw new AssertionError("invariant violated: " + invariant + " " + detail);
  }
}
