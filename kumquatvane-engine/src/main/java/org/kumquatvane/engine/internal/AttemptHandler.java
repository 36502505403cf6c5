package org.kumquatvane.engine.internal;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.ejection.AttemptOutcome;
import org.kumquatvane.engine.Attempt;
import org.kumquatvane.engine.AttemptListener;
import org.kumquatvane.engine.AttemptPlan;
import org.kumquatvane.engine.AttemptTrace;
import org.kumquatvane.engine.AuthorizedRequest;
import org.kumquatvane.engine.DeliveryListener;
import org.kumquatvane.engine.EngineDependencies;
import org.kumquatvane.engine.Exchange;
import org.kumquatvane.engine.ResponseHead;
import org.kumquatvane.operations.OperationResult;
import org.kumquatvane.operations.RecordedResponse;
import org.kumquatvane.retries.RetryDecision;
import org.kumquatvane.selection.Reservation;

/**
 * Handles one attempt; holds a slot from the start until the response is delivered or has failed.
 */
final class AttemptHandler implements AttemptListener, DeliveryListener {
  /**
   * Time after the request's deadline for which a response that has begun is still delivered. A
   * response may come without end, until its connection is closed.
   */
  private static final Duration DELIVERY_GRACE = Duration.ofSeconds(2);

  private final RequestFlow flow;
  private final EngineDependencies dependencies;
  private final AuthorizedRequest request;
  private final Reservation reservation;
  private final long startedNanos;
  private final AtomicBoolean outcomeDecided = new AtomicBoolean();
  private final AtomicBoolean slotReleased = new AtomicBoolean();
  private volatile @Nullable Attempt attempt;
  private volatile Scheduler.@Nullable Scheduled deadlineTask;
  private volatile boolean cancelled;
  private boolean responseCaptured;
  private boolean wasShed;
  private volatile int responseStatus;

  AttemptHandler(
      RequestFlow flow,
      EngineDependencies dependencies,
      AuthorizedRequest request,
      Reservation reservation) {
    this.flow = flow;
    this.dependencies = dependencies;
    this.request = request;
    this.reservation = reservation;
    startedNanos = dependencies.clock().monotonicNanos();
  }

  void start(Exchange exchange, boolean captureResponse) {
    responseCaptured = captureResponse;
    Deadline attemptDeadline = flow.attemptDeadline(reservation);
    deadlineTask =
        attemptDeadline.compareTo(flow.deadline()) < 0
            ? dependencies.scheduler().schedule(attemptDeadline, this::onEarlyDeadline)
            : dependencies.scheduler().schedule(flow.deadline(), this::onRequestDeadline);
    Attempt started =
        exchange.startAttempt(
            new AttemptPlan(
                request.head().id(),
                reservation.instance(),
                request.workspace(),
                flow.deadline(),
                dependencies.connectionShare().connectionsPerInstance(request.service()),
                flow.retryable(),
                captureResponse),
            this);
    attempt = started;
    // The deadline may have passed or the caller disconnected before the attempt was stored.
    if (cancelled) {
      started.cancel();
    }
  }

  /** Tries another instance if the retry policy allows it; otherwise this attempt continues. */
  private void onEarlyDeadline() {
    if (outcomeDecided.get()) {
      return;
    }
    Optional<RetryDecision.Retry> retry = flow.decideEarlyRetry(AttemptFailure.TIMED_OUT);
    if (retry.isEmpty()) {
      deadlineTask = dependencies.scheduler().schedule(flow.deadline(), this::onRequestDeadline);
      if (outcomeDecided.get()) {
        cancelDeadlineTask();
      }
    } else if (outcomeDecided.compareAndSet(false, true)) {
      cancelAttempt();
      recordOutcome(AttemptOutcome.Kind.TIMED_OUT);
      releaseSlot();
      flow.onAttemptAbandoned(AttemptFailure.TIMED_OUT, retry.get());
    }
  }

  /** Ends the attempt without a response, unless its outcome is decided. */
  void onRequestDeadline() {
    if (outcomeDecided.compareAndSet(false, true)) {
      cancelAttempt();
      endWithFailure(AttemptFailure.TIMED_OUT, false, AttemptOutcome.Kind.TIMED_OUT);
    }
  }

  /** Cancels the attempt because the caller has disconnected. */
  void cancel() {
    if (outcomeDecided.compareAndSet(false, true)) {
      cancelAttempt();
      dependencies
          .workers()
          .resume(
              () -> endWithFailure(AttemptFailure.TIMED_OUT, false, AttemptOutcome.Kind.CANCELLED));
    }
  }

  /** Returns what is known of the attempt's connection and response. */
  AttemptTrace trace() {
    Attempt running = attempt;
    return running == null ? AttemptTrace.NONE : running.trace();
  }

  private void cancelAttempt() {
    cancelled = true;
    Attempt running = attempt;
    if (running != null) {
      running.cancel();
    }
  }

  @Override
  public void onResponseHead(Attempt running, ResponseHead head) {
    if (outcomeDecided.compareAndSet(false, true)) {
      dependencies.workers().resume(() -> handleResponseHead(running, head));
    }
  }

  @Override
  public void onFailure(AttemptFailure failure, boolean instanceGone) {
    if (outcomeDecided.compareAndSet(false, true)) {
      dependencies
          .workers()
          .resume(() -> endWithFailure(failure, instanceGone, outcomeOf(failure)));
    }
  }

  private void handleResponseHead(Attempt running, ResponseHead head) {
    cancelDeadlineTask();
    recordAnnouncements(head);
    if (head.notRun()) {
      running.discardResponse();
      wasShed = true;
      dependencies.attemptDeadlines().recordShed(request.service().name());
      endWithFailure(AttemptFailure.SHED, false, AttemptOutcome.Kind.SHED);
      return;
    }
    recordOutcome(
        head.isServerError() ? AttemptOutcome.Kind.SERVER_ERROR : AttemptOutcome.Kind.SUCCESS);
    flow.recordResponseFrom(reservation.instance().id());
    if (head.isServerError()) {
      Optional<RetryDecision.Retry> retry = flow.decideEarlyRetry(AttemptFailure.SERVER_ERROR);
      if (retry.isPresent()) {
        running.discardResponse();
        releaseSlot();
        flow.onAttemptAbandoned(AttemptFailure.SERVER_ERROR, retry.get());
        return;
      }
    } else {
      dependencies
          .attemptDeadlines()
          .recordLatency(
              request.service().name(),
              request.route().id(),
              Duration.ofNanos(dependencies.clock().monotonicNanos() - startedNanos));
    }
    running.deliver(flow.attemptsMade(), this);
    if (!running.isReceived()) {
      limitDelivery();
    }
  }

  private void recordAnnouncements(ResponseHead head) {
    ServiceName service = request.service().name();
    InstanceId instance = reservation.instance().id();
    if (head.fromOtherInstance()) {
      dependencies.instances().markMisdirected(service, instance);
    } else if (head.draining() && dependencies.instances().markLeaving(service, instance)) {
      dependencies.counters().add("instances.announced_leaving", 1);
      logAnnouncement("instance_announced_leaving", LogField.of("status", head.status()));
    }
    head.avoidUntil()
        .ifPresent(
            until -> {
              dependencies.instances().avoidUntil(service, instance, until);
              dependencies.counters().add("instances.asked_to_wait", 1);
              logAnnouncement(
                  "instance_asked_to_wait",
                  LogField.of(
                      "wait_ms",
                      TimeUnit.NANOSECONDS.toMillis(until.remainingNanos(dependencies.clock()))));
            });
  }

  private void logAnnouncement(String event, LogField detail) {
    dependencies
        .eventLog()
        .record(
            EventLog.Level.INFO,
            event,
            LogField.of("service", request.service().name()),
            LogField.of("instance", reservation.instance().id()),
            LogField.of("request", request.head().id()),
            detail);
  }

  /** Breaks a streamed response off whose end does not arrive, since it would keep its slot. */
  private void limitDelivery() {
    Deadline limit = new Deadline(request.deadline().nanos() + DELIVERY_GRACE.toNanos());
    deadlineTask = dependencies.scheduler().schedule(limit, this::onDeliveryLimit);
    if (slotReleased.get()) {
      cancelDeadlineTask();
    }
  }

  private void onDeliveryLimit() {
    if (!slotReleased.get()) {
      dependencies.counters().add("answers.without_end", 1);
      cancelAttempt();
    }
  }

  @Override
  public void onHeadDelivered(int status) {
    responseStatus = status;
  }

  @Override
  public void onCompleted(Optional<RecordedResponse> captured) {
    dependencies
        .workers()
        .resume(
            () -> {
              releaseSlot();
              flow.onResponseDelivered(operationResult(captured), responseStatus, "whole");
            });
  }

  private OperationResult operationResult(Optional<RecordedResponse> captured) {
    return captured
        .<OperationResult>map(OperationResult.Finished::new)
        .orElseGet(
            () ->
                responseCaptured
                    ? new OperationResult.FinishedWithoutResponse()
                    : new OperationResult.Unknown());
  }

  @Override
  public void onTruncated() {
    dependencies
        .workers()
        .resume(
            () -> {
              recordOutcome(AttemptOutcome.Kind.ANSWER_INVALID);
              releaseSlot();
              dependencies.counters().add("answers.cut", 1);
              flow.onResponseDelivered(new OperationResult.Unknown(), responseStatus, "cut");
            });
  }

  @Override
  public void onCallerDisconnected() {
    dependencies
        .workers()
        .resume(
            () -> {
              releaseSlot();
              flow.onResponseDelivered(
                  new OperationResult.FinishedWithoutResponse(), responseStatus, "caller_left");
            });
  }

  private void endWithFailure(
      AttemptFailure failure, boolean instanceGone, AttemptOutcome.Kind outcome) {
    cancelDeadlineTask();
    recordOutcome(outcome);
    releaseSlot();
    if (outcome == AttemptOutcome.Kind.CANCELLED) {
      flow.abandon();
      return;
    }
    flow.onAttemptFailed(failure, instanceGone, reservation.instance().id());
  }

  private void cancelDeadlineTask() {
    Scheduler.Scheduled task = deadlineTask;
    if (task != null) {
      task.cancel();
    }
  }

  private void recordOutcome(AttemptOutcome.Kind kind) {
    Duration latency = Duration.ofNanos(dependencies.clock().monotonicNanos() - startedNanos);
    dependencies
        .counters()
        .recordDuration(
            "latency.attempt_" + kind.name().toLowerCase(Locale.ROOT), latency.toNanos());
    dependencies
        .health()
        .recordOutcome(
            request.service().name(),
            reservation.instance().id(),
            new AttemptOutcome(kind, latency));
  }

  private void releaseSlot() {
    if (slotReleased.compareAndSet(false, true)) {
      cancelDeadlineTask();
      if (wasShed) {
        dependencies.instances().releaseShed(reservation);
        dependencies.queue().refund(request.service().name(), request.workspace());
      } else {
        dependencies.instances().release(reservation);
        dependencies
            .queue()
            .charge(
                request.service().name(),
                request.workspace(),
                dependencies.clock().monotonicNanos() - startedNanos);
      }
    }
  }

  private static AttemptOutcome.Kind outcomeOf(AttemptFailure failure) {
    return switch (failure) {
      case CONNECT_FAILED -> AttemptOutcome.Kind.CONNECT_FAILED;
      case SHED -> AttemptOutcome.Kind.SHED;
      case CONNECTION_LOST -> AttemptOutcome.Kind.CONNECTION_LOST;
      case TIMED_OUT -> AttemptOutcome.Kind.TIMED_OUT;
      case SERVER_ERROR -> AttemptOutcome.Kind.SERVER_ERROR;
      case ANSWER_CROSSED, ANSWER_INCOMPLETE -> AttemptOutcome.Kind.ANSWER_INVALID;
    };
  }
}
