package org.kumquatvane.operations;

import java.util.function.Consumer;
import org.kumquatvane.core.Deadline;

/** Ledger without records, for front ends whose requests have no idempotency keys. */
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
