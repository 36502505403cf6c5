package org.kumquatvane.server.internal;

import java.util.function.Consumer;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.operations.BeginVerdict;
import org.kumquatvane.operations.Operation;
import org.kumquatvane.operations.OperationLedger;
import org.kumquatvane.operations.OperationResult;

/** temp. */
public final class TemporaryLedger implements OperationLedger {
  @Override
  public void begin(Operation operation, Deadline deadline, Consumer<BeginVerdict> verdict) {
    verdict.accept(new BeginVerdict.Proceed());
  }

  @Override
  public void finish(Operation operation, OperationResult result) {}
}
