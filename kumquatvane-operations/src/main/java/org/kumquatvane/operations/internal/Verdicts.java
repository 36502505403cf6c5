package org.kumquatvane.operations.internal;

import org.kumquatvane.operations.BeginVerdict;
import org.kumquatvane.operations.HolderAnswer;
import org.kumquatvane.operations.OperationResult;

/** Turns what holders know into the verdict for the caller's request. */
public final class Verdicts {
  private Verdicts() {}

  /**
   * Returns the verdict for an answer that is final.
   *
   * @param answer the answer of a holder
   * @return the verdict
   */
  public static BeginVerdict of(HolderAnswer answer) {
    if (answer instanceof HolderAnswer.Fresh) {
      return new BeginVerdict.Proceed();
    }
    if (answer instanceof HolderAnswer.Conflict) {
      return new BeginVerdict.KeyReused();
    }
    if (answer instanceof HolderAnswer.Ended ended) {
      if (ended.result() instanceof OperationResult.Finished finished) {
        return new BeginVerdict.Replay(finished.answer());
      }
      if (ended.result() instanceof OperationResult.FinishedWithoutAnswer) {
        return new BeginVerdict.AnswerNotKept();
      }
    }
    return new BeginVerdict.Unknown();
  }
}
