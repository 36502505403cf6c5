package org.kumquatvane.operations.internal;

import org.kumquatvane.operations.BeginVerdict;
import org.kumquatvane.operations.HolderReply;
import org.kumquatvane.operations.OperationResult;

/** Maps replies of holders to verdicts. */
public final class Verdicts {
  private Verdicts() {}

  /**
   * Returns the verdict for a final reply.
   *
   * @param reply the reply of a holder
   * @return the verdict
   */
  public static BeginVerdict of(HolderReply reply) {
    if (reply instanceof HolderReply.Granted) {
      return new BeginVerdict.Proceed();
    }
    if (reply instanceof HolderReply.Conflict) {
      return new BeginVerdict.KeyReused();
    }
    if (reply instanceof HolderReply.Ended ended) {
      if (ended.result() instanceof OperationResult.Finished finished) {
        return new BeginVerdict.Replay(finished.response());
      }
      if (ended.result() instanceof OperationResult.FinishedWithoutResponse) {
        return new BeginVerdict.AnswerNotKept();
      }
    }
    return new BeginVerdict.Unknown();
  }
}
