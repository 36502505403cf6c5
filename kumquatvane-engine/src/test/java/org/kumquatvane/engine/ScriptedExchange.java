package org.kumquatvane.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.operations.RecordedResponse;

/** Exchange whose attempts end as a test has written down, in order; further attempts hang. */
final class ScriptedExchange implements Exchange {
  private final Deque<Consumer<ScriptedAttempt>> script = new ArrayDeque<>();
  private final List<ScriptedAttempt> attempts = new ArrayList<>();
  private @Nullable Refusal refusal;
  private @Nullable RecordedResponse replayed;
  private int deliveredStatus;

  ScriptedExchange thenAnswer(int status) {
    return then(attempt -> attempt.answer(new AnswerHead(status, false, false)));
  }

  ScriptedExchange thenAnswer(AnswerHead head) {
    return then(attempt -> attempt.answer(head));
  }

  ScriptedExchange thenFail(AttemptFailure failure, boolean instanceGone) {
    return then(attempt -> attempt.listener.failed(failure, instanceGone));
  }

  private ScriptedExchange then(Consumer<ScriptedAttempt> step) {
    script.add(step);
    return this;
  }

  @Override
  public void refuse(Refusal given) {
    refusal = given;
  }

  @Override
  public void replay(RecordedResponse answer) {
    replayed = answer;
  }

  @Override
  public Attempt attempt(AttemptPlan plan, AttemptListener listener) {
    ScriptedAttempt attempt = new ScriptedAttempt(plan, listener);
    attempts.add(attempt);
    Consumer<ScriptedAttempt> step = script.poll();
    if (step != null) {
      step.accept(attempt);
    }
    return attempt;
  }

  List<ScriptedAttempt> attempts() {
    return attempts;
  }

  Optional<Refusal> refusal() {
    return Optional.ofNullable(refusal);
  }

  Optional<RecordedResponse> replayed() {
    return Optional.ofNullable(replayed);
  }

  int deliveredStatus() {
    return deliveredStatus;
  }

  final class ScriptedAttempt implements Attempt {
    private final AttemptPlan plan;
    private final AttemptListener listener;
    private @Nullable AnswerHead head;
    private boolean cancelled;

    private ScriptedAttempt(AttemptPlan plan, AttemptListener listener) {
      this.plan = plan;
      this.listener = listener;
    }

    AttemptPlan plan() {
      return plan;
    }

    boolean isCancelled() {
      return cancelled;
    }

    void answer(AnswerHead received) {
      head = received;
      listener.answered(this, received);
    }

    @Override
    public void cancel() {
      cancelled = true;
    }

    @Override
    public void discardAnswer() {}

    @Override
    public void deliver(int attemptsMade, DeliveryListener delivery) {
      AnswerHead received = head;
      deliveredStatus = received == null ? 0 : received.status();
      RecordedResponse answer = new RecordedResponse(deliveredStatus, List.of(), new byte[0]);
      delivery.completed(plan.captureAnswer() ? Optional.of(answer) : Optional.empty());
    }
  }
}
