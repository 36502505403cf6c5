package org.kumquatvane.operations;

import java.util.function.Consumer;
import org.kumquatvane.core.Deadline;

/** Keeps no records, for front ends whose requests name no operations. */
public final class DisabledOperationLedger implements OperationLedger {
  @Override
  public void begin(Operation operation, Deadline deadline, Consumer<BeginVerdict> verdict) {
    verdict.accept(new BeginVerdict.Proceed());
  }

  @Override
  public void finish(Operation operation, OperationResult result) {
    // Nothing was recorded when the operation began.
  }
}
