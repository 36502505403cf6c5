package org.kumquatvane.engine.internal;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.ExecutionStatus;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.Invariant;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.Reason;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.ejection.RequestFingerprint;
import org.kumquatvane.engine.AuthorizedRequest;
import org.kumquatvane.engine.BodyDescription;
import org.kumquatvane.engine.EngineDependencies;
import org.kumquatvane.engine.Exchange;
import org.kumquatvane.engine.Refusal;
import org.kumquatvane.engine.RunningRequest;
import org.kumquatvane.limits.LimitDecision;
import org.kumquatvane.operations.OperationResult;
import org.kumquatvane.operations.RecordedResponse;
import org.kumquatvane.retries.RetryDecision;
import org.kumquatvane.selection.Reservation;
import org.kumquatvane.selection.SlotRequirements;

/**
 * Processes one request: rate limit, operation record, queue, attempts and response.
 *
 * <p>Each step is started by exactly one event on the worker pool, so the fields need no lock. The
 * only races, with the caller's disconnection and with deadlines, are resolved by compare-and-set.
 */
public final class RequestFlow implements RunningRequest, SlotWaiter {
  /**
   * Share of the route's target latency that a request may wait for an instance that is likely to
   * respond; the rest has to cover the processing itself.
   */
  private static final double MAXIMUM_SLOT_WAIT_SHARE = 0.25;

  private final EngineDependencies dependencies;
  private final SlotDispatcher dispatcher;
  private final AuthorizedRequest request;
  private final Exchange exchange;
  private final Consumer<RequestFlow> onEnd;
  private final RequestFingerprint fingerprint;
  private final Deadline mayWaitUntil;
  private final RequestLog requestLog;
  private final OperationTracker operation;
  private final AttemptRules rules;
  private final QueueWait wait;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final Set<InstanceId> triedInstances = ConcurrentHashMap.newKeySet();
  private volatile @Nullable AttemptHandler currentAttempt;
  private volatile boolean callerDisconnected;
  private volatile Deadline deadline;
  private int attemptsMade;
  private boolean mayHaveRun;

  /**
   * Creates the flow of an authorized request.
   *
   * @param dependencies tables and policies
   * @param dispatcher assigns slots
   * @param request the request
   * @param body properties of its body
   * @param exchange connection to the front end
   * @param onEnd called once, when the request has ended
   */
  public RequestFlow(
      EngineDependencies dependencies,
      SlotDispatcher dispatcher,
      AuthorizedRequest request,
      BodyDescription body,
      Exchange exchange,
      Consumer<RequestFlow> onEnd) {
    this.dependencies = dependencies;
    this.dispatcher = dispatcher;
    this.request = request;
    this.exchange = exchange;
    this.onEnd = onEnd;
    deadline = request.deadline();
    fingerprint = Fingerprints.of(request, body);
    requestLog = new RequestLog(dependencies, request);
    operation = new OperationTracker(dependencies, request, body);
    wait = new QueueWait(dependencies);
    rules = new AttemptRules(dependencies, request, body, fingerprint);
    mayWaitUntil =
        new Deadline(
            request.head().arrivalNanos()
                + (long)
                    (request.route().traffic().targetLatency().toNanos()
                        * MAXIMUM_SLOT_WAIT_SHARE));
  }

  /** Checks the crash guard and acquires from the rate limiter. */
  public void start() {
    if (dependencies.crashGuard().isBlocked(fingerprint)) {
      refuse(Refusal.of(Reason.REQUEST_CRASHES_SERVERS, "requests like this one crash instances"));
      return;
    }
    if (!request.hasWorkspace()) {
      beginOperation();
      return;
    }
    dependencies
        .limiter()
        .acquire(request.workspace(), request.deadline(), this::onRateLimitDecision);
  }

  private void onRateLimitDecision(LimitDecision decision) {
    if (decision instanceof LimitDecision.Admitted) {
      beginOperation();
    } else if (decision instanceof LimitDecision.RateLimited limited) {
      refuse(
          Refusal.of(
                  Reason.RATE_LIMITED,
                  "workspace "
                      + request.workspace()
                      + " exceeds its rate limit: "
                      + limited.explanation())
              .withRetryAfter(limited.retryAfter()));
    } else {
      refuse(Refusal.of(Reason.SHARE_UNSETTLED, "this VM has no share of the rate limit yet"));
    }
  }

  private void beginOperation() {
    operation.begin(
        new OperationTracker.BeginHandler() {
          @Override
          public void proceed() {
            enqueue();
          }

          @Override
          public void replay(RecordedResponse response) {
            dependencies.counters().add("operations.replayed", 1);
            if (end()) {
              exchange.replay(response);
            }
          }

          @Override
          public void refuse(Refusal refusal) {
            RequestFlow.this.refuse(refusal);
          }
        });
  }

  private void enqueue() {
    if (callerDisconnected) {
      abandon();
      return;
    }
    if (!dependencies.instances().hasInstance(request.service().name())) {
      refuse(
          refusalWithExecutionStatus(
              Reason.NO_INSTANCE, "service " + request.service().name() + " has no instance"));
      return;
    }
    Optional<Reason> refusal = dependencies.queue().enqueue(request.service().name(), this);
    if (refusal.isPresent()) {
      refuse(
          refusalWithExecutionStatus(
              refusal.get(), "service " + request.service().name() + " is busy"));
      return;
    }
    // The timeout refuses a queued request even if no slot becomes free, while its caller can still
    // try elsewhere.
    wait.begin(
        dependencies.queue().latestUsefulStart(request.service().name(), this),
        this::onQueueTimeout,
        this::recheck);
    dispatcher.dispatch(request.service().name());
  }

  /** Refuses a waiting request at once when the last instance of its service has left. */
  private void recheck() {
    ServiceName service = request.service().name();
    if (dependencies.instances().hasInstance(service)) {
      dispatcher.dispatch(service);
    } else if (dependencies.queue().remove(service, this)) {
      wait.end();
      refuse(
          refusalWithExecutionStatus(
              Reason.NO_INSTANCE, "the instances of service " + service + " have left"));
    }
  }

  private void onQueueTimeout() {
    if (dependencies.queue().remove(request.service().name(), this)) {
      onDeadlineExpired();
    }
  }

  @Override
  public WorkspaceId workspace() {
    return request.workspace();
  }

  /** The deadline of the request, or the earlier end of this VM. */
  @Override
  public Deadline deadline() {
    return deadline;
  }

  @Override
  public int priority() {
    return request.priority();
  }

  @Override
  public boolean retryable() {
    return rules.isRetryable();
  }

  @Override
  public SlotRequirements slotRequirements() {
    // A queued request accepts any instance, since all others may have been tried.
    return slotRequirements(Set.of());
  }

  private SlotRequirements slotRequirements(Set<InstanceId> excluded) {
    return new SlotRequirements(
        excluded, retryable() && rules.mayRetryAfterNext(attemptsMade), mayWaitUntil);
  }

  @Override
  public void onDeadlineExpired() {
    wait.end();
    refuse(
        isLimitedByStop()
            ? refusalBecauseOfStop()
            : refusalWithExecutionStatus(
                Reason.DEADLINE_PASSED_WAITING, "the deadline passed in the queue"));
  }

  /**
   * Ends the request before its deadline, since this VM stops. While it waits, it is refused when a
   * start is no longer useful; an attempt may go on until the end.
   *
   * @param end time by which the request must have ended
   */
  public void endBy(Deadline end) {
    deadline = request.deadline().earliest(end);
    if (!isLimitedByStop()) {
      return;
    }
    dependencies
        .scheduler()
        .schedule(
            dependencies.queue().latestUsefulStart(request.service().name(), this),
            this::onQueueTimeout);
    dependencies.scheduler().schedule(end, this::onStop);
  }

  /** Gives up the running attempt; a request without one is refused by its queue timeout. */
  private void onStop() {
    AttemptHandler attempt = currentAttempt;
    if (attempt != null) {
      attempt.onRequestDeadline();
    }
  }

  private boolean isLimitedByStop() {
    return deadline.compareTo(request.deadline()) < 0;
  }

  /** Whether an attempt that starts now would be cut off by the end of this VM. */
  private boolean isStopTooNear() {
    return isLimitedByStop()
        && dependencies
            .queue()
            .latestUsefulStart(request.service().name(), this)
            .isReached(dependencies.clock());
  }

  private Refusal refusalBecauseOfStop() {
    return refusalWithExecutionStatus(Reason.NOT_READY, "this VM stops");
  }

  @Override
  public void onSlotGranted(Reservation reservation) {
    wait.end();
    if (callerDisconnected) {
      dependencies.instances().release(reservation);
      dependencies.queue().refund(request.service().name(), request.workspace());
      abandon();
      return;
    }
    startAttempt(reservation);
  }

  private void startAttempt(Reservation reservation) {
    dependencies
        .monitor()
        .check(
            Invariant.OPERATION_AT_MOST_ONCE,
            request.route().idempotent() || !mayHaveRun,
            "request=" + request.head().id() + " attempts=" + attemptsMade);
    attemptsMade++;
    if (attemptsMade == 1) {
      // Only requests that reach an instance add to the retry budget; refused ones add no capacity.
      dependencies.retries().requestStarted(request.service().name());
      dependencies.counters().add("attempts.logical_requests", 1);
    }
    dependencies.counters().add("attempts.started", 1);
    triedInstances.add(reservation.instance().id());
    AttemptHandler handler = new AttemptHandler(this, dependencies, request, reservation);
    requestLog.setAttempt(reservation, handler::trace);
    currentAttempt = handler;
    handler.start(exchange, operation.isRecording());
    if (callerDisconnected) {
      onCallerDisconnected();
    }
  }

  /** Handles a failed attempt whose slot has been released. */
  void onAttemptFailed(AttemptFailure failure, boolean instanceGone, InstanceId instance) {
    mayHaveRun |= !failure.isKnownNotRun();
    if (failure == AttemptFailure.CONNECTION_LOST && instanceGone) {
      dependencies.crashGuard().recordInstanceLoss(fingerprint, instance);
    }
    RetryDecision decision = rules.decideRetry(failure, attemptsMade);
    boolean retries = decision instanceof RetryDecision.Retry && !isStopTooNear();
    requestLog.logAttemptFailure(attemptsMade, failure, instanceGone, retries ? "retry" : "end");
    if (retries && decision instanceof RetryDecision.Retry retry && !callerDisconnected) {
      dependencies.counters().count(retry.reason());
      dependencies.scheduler().schedule(retry.notBefore(), this::retry);
    } else if (callerDisconnected) {
      abandon();
    } else {
      refuse(
          refusalWithExecutionStatus(
              failure.refusalReason(), "attempts=" + attemptsMade + " failed"));
    }
    dispatcher.dispatch(request.service().name());
  }

  /** Decides whether an attempt that could still deliver a response is abandoned for a retry. */
  Optional<RetryDecision.Retry> decideEarlyRetry(AttemptFailure failure) {
    return callerDisconnected ? Optional.empty() : rules.decideEarlyRetry(failure, attemptsMade);
  }

  /** Schedules a retry after an abandoned attempt whose slot has been released. */
  void onAttemptAbandoned(AttemptFailure failure, RetryDecision.Retry retry) {
    mayHaveRun |= !failure.isKnownNotRun();
    requestLog.logAttemptFailure(attemptsMade, failure, false, "retry");
    dependencies.counters().count(retry.reason());
    dependencies.scheduler().schedule(retry.notBefore(), this::retry);
    dispatcher.dispatch(request.service().name());
  }

  /** Returns the time at which another instance is tried although this one may still respond. */
  Deadline attemptDeadline(Reservation reservation) {
    return rules.attemptDeadline(attemptsMade, reservation);
  }

  /** Records that an instance responded, so the request did not crash it. */
  void recordResponseFrom(InstanceId instance) {
    dependencies.crashGuard().recordResponse(fingerprint, instance);
  }

  private void retry() {
    if (callerDisconnected) {
      abandon();
      return;
    }
    if (isStopTooNear()) {
      refuse(refusalBecauseOfStop());
      return;
    }
    Optional<Reservation> other =
        dependencies
            .instances()
            .reserve(request.service().name(), slotRequirements(triedInstances));
    if (other.isPresent()) {
      startAttempt(other.get());
    } else {
      enqueue();
    }
  }

  /** Ends the request after its response was delivered, completely or in part. */
  void onResponseDelivered(OperationResult result, int status, String delivery) {
    operation.finish(result);
    if (end()) {
      requestLog.logEnd(
          "request_answered",
          attemptsMade,
          LogField.of("status", status),
          LogField.of("delivery", delivery));
    }
    dispatcher.dispatch(request.service().name());
  }

  int attemptsMade() {
    return attemptsMade;
  }

  @Override
  public void onCallerDisconnected() {
    callerDisconnected = true;
    if (dependencies.queue().remove(request.service().name(), this)) {
      wait.end();
      dependencies.workers().resume(this::abandon);
      return;
    }
    AttemptHandler handler = currentAttempt;
    // A non-idempotent operation in flight is completed and recorded, so that a repeated request
    // gets its outcome.
    if (handler != null && request.route().idempotent()) {
      handler.cancel();
    }
  }

  /** Ends a request whose caller has disconnected. */
  void abandon() {
    dependencies.counters().add("requests.abandoned", 1);
    operation.finish(mayHaveRun ? new OperationResult.Unknown() : new OperationResult.NotRun());
    if (end()) {
      exchange.abandon();
      requestLog.logEnd("request_abandoned", attemptsMade, LogField.of("may_have_run", mayHaveRun));
    }
  }

  private Refusal refusalWithExecutionStatus(Reason reason, String detail) {
    if (mayHaveRun || reason.execution() == ExecutionStatus.MAY_HAVE_RUN) {
      return new Refusal(reason, ExecutionStatus.MAY_HAVE_RUN, detail, Optional.empty());
    }
    return Refusal.of(reason, detail);
  }

  private void refuse(Refusal refusal) {
    dependencies
        .monitor()
        .check(
            Invariant.NOT_RUN_IS_TRUE,
            refusal.execution() != ExecutionStatus.NOT_RUN || !mayHaveRun,
            "request=" + request.head().id() + " reason=" + refusal.reason().code());
    operation.finish(
        mayHaveRun || refusal.execution() != ExecutionStatus.NOT_RUN
            ? new OperationResult.Unknown()
            : new OperationResult.NotRun());
    if (end()) {
      dependencies.counters().count(refusal.reason());
      exchange.refuse(refusal);
      requestLog.logEnd(
          "request_refused",
          attemptsMade,
          LogField.of("reason", refusal.reason().code()),
          LogField.of("execution", refusal.execution().token()),
          LogField.of("detail", refusal.detail()));
    }
  }

  private boolean end() {
    if (!ended.compareAndSet(false, true)) {
      return false;
    }
    onEnd.accept(this);
    return true;
  }
}
