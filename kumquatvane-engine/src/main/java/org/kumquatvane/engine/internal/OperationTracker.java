package org.kumquatvane.engine.internal;

import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Reason;
import org.kumquatvane.document.IdempotencyKeyRule;
import org.kumquatvane.engine.AuthorizedRequest;
import org.kumquatvane.engine.BodyDescription;
import org.kumquatvane.engine.EngineDependencies;
import org.kumquatvane.engine.Refusal;
import org.kumquatvane.operations.BeginVerdict;
import org.kumquatvane.operations.Operation;
import org.kumquatvane.operations.OperationResult;
import org.kumquatvane.operations.RecordedResponse;

/** Ledger record of the operation that a request identifies by its idempotency key, if any. */
final class OperationTracker {
  private final EngineDependencies dependencies;
  private final AuthorizedRequest request;
  private final BodyDescription body;
  private @Nullable Operation operation;

  /** Callbacks for the verdict of the ledger. */
  interface BeginHandler {
    /** The request may run; no other request has run the operation. */
    void proceed();

    /** The operation has run; its recorded response is replayed. */
    void replay(RecordedResponse response);

    /** The request must not run. */
    void refuse(Refusal refusal);
  }

  OperationTracker(
      EngineDependencies dependencies, AuthorizedRequest request, BodyDescription body) {
    this.dependencies = dependencies;
    this.request = request;
    this.body = body;
  }

  /** Begins the operation, or proceeds at once if the request has none. */
  void begin(BeginHandler handler) {
    Optional<String> key = request.head().idempotencyKey();
    if (key.isEmpty() || request.route().idempotencyKey() == IdempotencyKeyRule.IGNORED) {
      handler.proceed();
      return;
    }
    Operation begun =
        new Operation(request.workspace(), key.get(), Fingerprints.requestDigest(request, body));
    Consumer<BeginVerdict> onVerdict = verdict -> onVerdict(begun, verdict, handler);
    dependencies.ledger().begin(begun, request.deadline(), onVerdict);
  }

  private void onVerdict(Operation begun, BeginVerdict verdict, BeginHandler handler) {
    if (verdict instanceof BeginVerdict.Proceed) {
      operation = begun;
      handler.proceed();
    } else if (verdict instanceof BeginVerdict.Replay replay) {
      handler.replay(replay.response());
    } else if (verdict instanceof BeginVerdict.AnswerNotKept) {
      handler.refuse(Refusal.of(Reason.ANSWER_NOT_KEPT, "the operation has already run"));
    } else if (verdict instanceof BeginVerdict.KeyReused) {
      handler.refuse(
          Refusal.of(
              Reason.IDEMPOTENCY_KEY_REUSED, "the Idempotency-Key was used with another request"));
    } else if (verdict instanceof BeginVerdict.KeyMalformed) {
      handler.refuse(
          Refusal.of(
              Reason.IDEMPOTENCY_KEY_MALFORMED, "the Idempotency-Key is not a current UUIDv7"));
    } else {
      handler.refuse(
          Refusal.of(
              Reason.OUTCOME_UNKNOWN, "an earlier request with this Idempotency-Key may have run"));
    }
  }

  /** Tells whether an operation has begun and its response must be recorded. */
  boolean isRecording() {
    return operation != null;
  }

  /** Records the result of the operation; does nothing without an operation. */
  void finish(OperationResult result) {
    Operation begun = operation;
    if (begun != null) {
      operation = null;
      dependencies.ledger().finish(begun, result);
    }
  }
}
