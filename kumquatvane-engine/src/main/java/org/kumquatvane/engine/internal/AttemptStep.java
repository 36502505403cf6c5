package org.kumquatvane.engine.internal;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.ejection.AttemptOutcome;
import org.kumquatvane.engine.AnswerHead;
import org.kumquatvane.engine.Attempt;
import org.kumquatvane.engine.AttemptListener;
import org.kumquatvane.engine.AttemptPlan;
import org.kumquatvane.engine.AuthorizedRequest;
import org.kumquatvane.engine.DeliveryListener;
import org.kumquatvane.engine.EngineDependencies;
import org.kumquatvane.engine.Exchange;
import org.kumquatvane.operations.OperationResult;
import org.kumquatvane.operations.RecordedAnswer;
import org.kumquatvane.retries.RetryDecision;
import org.kumquatvane.selection.Reservation;

/** One attempt: holds a slot from its start until its answer has been delivered or has failed. */
final class AttemptStep implements AttemptListener, DeliveryListener {
  private final RequestFlow flow;
  private final EngineDependencies dependencies;
  private final AuthorizedRequest request;
  private final Reservation reservation;
  private final long startedNanos;
  private final AtomicBoolean headSettled = new AtomicBoolean();
  private final AtomicBoolean slotReleased = new AtomicBoolean();
  private volatile @Nullable Attempt attempt;
  private volatile Scheduler.@Nullable Scheduled deadlineTask;
  private volatile boolean isCancelled;
  private boolean recorded;
  private boolean wasShed;
  private volatile int answerStatus;

  AttemptStep(
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

  void start(Exchange exchange, boolean captureAnswer) {
    recorded = captureAnswer;
    Deadline early = flow.attemptDeadline(reservation);
    deadlineTask =
        early.compareTo(request.deadline()) < 0
            ? dependencies.scheduler().schedule(early, this::earlyDeadlinePassed)
            : dependencies.scheduler().schedule(request.deadline(), this::deadlinePassed);
    Attempt started =
        exchange.attempt(
            new AttemptPlan(
                request.head().id(),
                reservation.instance(),
                request.workspace(),
                request.deadline(),
                dependencies.connectionShare().connectionsPerInstance(request.service()),
                flow.retryable(),
                captureAnswer),
            this);
    attempt = started;
    // The deadline or the caller's leaving may have come before the attempt was stored.
    if (isCancelled) {
      started.cancel();
    }
  }

  /** Tries another instance if the retry policy allows it; otherwise this attempt goes on. */
  private void earlyDeadlinePassed() {
    if (headSettled.get()) {
      return;
    }
    Optional<RetryDecision.Retry> retry = flow.retryInstead(AttemptFailure.TIMED_OUT);
    if (retry.isEmpty()) {
      deadlineTask = dependencies.scheduler().schedule(request.deadline(), this::deadlinePassed);
      if (headSettled.get()) {
        cancelDeadline();
      }
    } else if (headSettled.compareAndSet(false, true)) {
      cancelAttempt();
      observe(AttemptOutcome.Kind.TIMED_OUT);
      releaseSlot();
      flow.attemptDropped(AttemptFailure.TIMED_OUT, retry.get());
    }
  }

  private void deadlinePassed() {
    if (headSettled.compareAndSet(false, true)) {
      cancelAttempt();
      settleFailure(AttemptFailure.TIMED_OUT, false, AttemptOutcome.Kind.TIMED_OUT);
    }
  }

  /** Ends the attempt because the caller has left. */
  void cancel() {
    if (headSettled.compareAndSet(false, true)) {
      cancelAttempt();
      dependencies
          .workers()
          .resume(
              () -> settleFailure(AttemptFailure.TIMED_OUT, false, AttemptOutcome.Kind.CANCELLED));
    }
  }

  private void cancelAttempt() {
    isCancelled = true;
    Attempt running = attempt;
    if (running != null) {
      running.cancel();
    }
  }

  @Override
  public void answered(Attempt running, AnswerHead head) {
    if (headSettled.compareAndSet(false, true)) {
      dependencies.workers().resume(() -> headReceived(running, head));
    }
  }

  @Override
  public void failed(AttemptFailure failure, boolean instanceGone) {
    if (headSettled.compareAndSet(false, true)) {
      dependencies
          .workers()
          .resume(() -> settleFailure(failure, instanceGone, observationOf(failure)));
    }
  }

  private void headReceived(Attempt running, AnswerHead head) {
    cancelDeadline();
    if (head.saysDraining() || head.saysOtherInstance()) {
      dependencies.instances().markLeaving(request.service().name(), reservation.instance().id());
    }
    if (head.saysNotRun()) {
      running.discardAnswer();
      wasShed = true;
      settleFailure(AttemptFailure.SHED, false, AttemptOutcome.Kind.SHED);
      return;
    }
    observe(head.isServerError() ? AttemptOutcome.Kind.SERVER_ERROR : AttemptOutcome.Kind.SUCCESS);
    flow.answeredBy(reservation.instance().id());
    if (head.isServerError()) {
      Optional<RetryDecision.Retry> retry = flow.retryInstead(AttemptFailure.SERVER_ERROR);
      if (retry.isPresent()) {
        running.discardAnswer();
        releaseSlot();
        flow.attemptDropped(AttemptFailure.SERVER_ERROR, retry.get());
        return;
      }
    } else {
      dependencies
          .attemptDeadlines()
          .recordLatency(
              request.route().id(),
              Duration.ofNanos(dependencies.clock().monotonicNanos() - startedNanos));
    }
    answerStatus = head.status();
    running.deliver(flow.attemptsMade(), this);
  }

  @Override
  public void completed(Optional<RecordedAnswer> captured) {
    dependencies
        .workers()
        .resume(
            () -> {
              releaseSlot();
              flow.answered(resultOf(captured), answerStatus, "whole");
            });
  }

  private OperationResult resultOf(Optional<RecordedAnswer> captured) {
    return captured
        .<OperationResult>map(OperationResult.Finished::new)
        .orElseGet(
            () ->
                recorded
                    ? new OperationResult.FinishedWithoutAnswer()
                    : new OperationResult.Unknown());
  }

  @Override
  public void cut() {
    dependencies
        .workers()
        .resume(
            () -> {
              observe(AttemptOutcome.Kind.ANSWER_INVALID);
              releaseSlot();
              dependencies.counters().add("answers.cut", 1);
              flow.answered(new OperationResult.Unknown(), answerStatus, "cut");
            });
  }

  @Override
  public void abandoned() {
    dependencies
        .workers()
        .resume(
            () -> {
              releaseSlot();
              flow.answered(
                  new OperationResult.FinishedWithoutAnswer(), answerStatus, "caller_left");
            });
  }

  private void settleFailure(
      AttemptFailure failure, boolean instanceGone, AttemptOutcome.Kind observation) {
    cancelDeadline();
    observe(observation);
    releaseSlot();
    if (observation == AttemptOutcome.Kind.CANCELLED) {
      flow.abandon();
      return;
    }
    flow.attemptFailed(failure, instanceGone, reservation.instance().id());
  }

  private void cancelDeadline() {
    Scheduler.Scheduled task = deadlineTask;
    if (task != null) {
      task.cancel();
    }
  }

  private void observe(AttemptOutcome.Kind kind) {
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
      if (wasShed) {
        dependencies.instances().releaseShed(reservation);
      } else {
        dependencies.instances().release(reservation);
      }
      dependencies
          .queue()
          .charge(
              request.service().name(),
              request.workspace(),
              dependencies.clock().monotonicNanos() - startedNanos);
    }
  }

  private static AttemptOutcome.Kind observationOf(AttemptFailure failure) {
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
