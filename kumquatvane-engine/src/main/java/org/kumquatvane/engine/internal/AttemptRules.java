package org.kumquatvane.engine.internal;

import java.util.Optional;
import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.ejection.RequestFingerprint;
import org.kumquatvane.engine.AuthorizedRequest;
import org.kumquatvane.engine.BodyDescription;
import org.kumquatvane.engine.EngineDependencies;
import org.kumquatvane.retries.AttemptContext;
import org.kumquatvane.retries.RetryContext;
import org.kumquatvane.retries.RetryDecision;
import org.kumquatvane.selection.Reservation;

/** Decides on the retries and attempt deadlines of one request. */
final class AttemptRules {
  private final EngineDependencies dependencies;
  private final AuthorizedRequest request;
  private final BodyDescription body;
  private final RequestFingerprint fingerprint;

  AttemptRules(
      EngineDependencies dependencies,
      AuthorizedRequest request,
      BodyDescription body,
      RequestFingerprint fingerprint) {
    this.dependencies = dependencies;
    this.request = request;
    this.body = body;
    this.fingerprint = fingerprint;
  }

  /** Tells whether the request may run more than once and its body can be sent again. */
  boolean isRetryable() {
    return request.route().idempotent() && body.replayable();
  }

  /**
   * Tells whether the route allows an attempt after the next one; the last allowed attempt cannot
   * be retried on another instance.
   */
  boolean mayRetryAfterNext(int attemptsMade) {
    int limit = request.route().traffic().maximumAttempts();
    return limit == 0 || attemptsMade + 1 < limit;
  }

  /** Decides whether another attempt follows a failed one. */
  RetryDecision decideRetry(AttemptFailure failure, int attemptsMade) {
    if (dependencies.crashGuard().isBlocked(fingerprint)
        || isRouteLimitReached(failure, attemptsMade)) {
      return new RetryDecision.DoNotRetry();
    }
    return dependencies
        .retries()
        .decide(
            new RetryContext(
                request.service(),
                request.priority(),
                request.route().idempotent(),
                body.replayable(),
                attemptsMade,
                failure,
                request.deadline()));
  }

  /** Decides whether an attempt that could still deliver a response is abandoned for a retry. */
  Optional<RetryDecision.Retry> decideEarlyRetry(AttemptFailure failure, int attemptsMade) {
    return decideRetry(failure, attemptsMade) instanceof RetryDecision.Retry retry
        ? Optional.of(retry)
        : Optional.empty();
  }

  /** Attempts known not to have run count as well, but one additional attempt is allowed. */
  private boolean isRouteLimitReached(AttemptFailure failure, int attemptsMade) {
    int limit = request.route().traffic().maximumAttempts();
    return limit > 0 && attemptsMade >= limit + (failure.isKnownNotRun() ? 1 : 0);
  }

  /** Returns the time at which another instance is tried although this one may still respond. */
  Deadline attemptDeadline(int attemptsMade, Reservation reservation) {
    return dependencies
        .attemptDeadlines()
        .attemptDeadline(
            new AttemptContext(
                request.service(),
                request.route().id(),
                isRetryable(),
                attemptsMade,
                reservation.snapshot().failureProbability(),
                request.deadline()));
  }
}
