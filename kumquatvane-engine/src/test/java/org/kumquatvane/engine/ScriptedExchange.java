package org.kumquatvane.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.operations.RecordedResponse;

/** Exchange whose attempts end as scripted by the test, in order; any further attempt hangs. */
final class ScriptedExchange implements Exchange {
  private final Deque<Consumer<ScriptedAttempt>> script = new ArrayDeque<>();
  private final List<ScriptedAttempt> attempts = new ArrayList<>();
  private @Nullable Refusal refusal;
  private @Nullable RecordedResponse replayed;
  private int deliveredStatus;
  private boolean abandoned;

  ScriptedExchange thenRespond(int status) {
    return then(attempt -> attempt.respond(new ResponseHead(status, false, false)));
  }

  ScriptedExchange thenRespond(ResponseHead head) {
    return then(attempt -> attempt.respond(head));
  }

  ScriptedExchange thenFail(AttemptFailure failure, boolean instanceGone) {
    return then(attempt -> attempt.listener.onFailure(failure, instanceGone));
  }

  private ScriptedExchange then(Consumer<ScriptedAttempt> action) {
    script.add(action);
    return this;
  }

  @Override
  public void refuse(Refusal received) {
    refusal = received;
  }

  @Override
  public void abandon() {
    abandoned = true;
  }

  @Override
  public void replay(RecordedResponse response) {
    replayed = response;
  }

  @Override
  public Attempt startAttempt(AttemptPlan plan, AttemptListener listener) {
    ScriptedAttempt attempt = new ScriptedAttempt(plan, listener);
    attempts.add(attempt);
    Consumer<ScriptedAttempt> action = script.poll();
    if (action != null) {
      action.accept(attempt);
    }
    return attempt;
  }

  List<ScriptedAttempt> attempts() {
    return attempts;
  }

  Optional<Refusal> refusal() {
    return Optional.ofNullable(refusal);
  }

  boolean isAbandoned() {
    return abandoned;
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
    private @Nullable ResponseHead head;
    private boolean cancelled;
    private boolean isStreamed;

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

    void fail(AttemptFailure failure) {
      listener.onFailure(failure, false);
    }

    void respond(ResponseHead received) {
      head = received;
      listener.onResponseHead(this, received);
    }

    /** Sends the head of a response whose body never ends. */
    void respondWithoutEnd(ResponseHead received) {
      isStreamed = true;
      respond(received);
    }

    @Override
    public void cancel() {
      cancelled = true;
    }

    @Override
    public boolean isReceived() {
      return !isStreamed;
    }

    @Override
    public void discardResponse() {}

    @Override
    public AttemptTrace trace() {
      ResponseHead received = head;
      return new AttemptTrace(
          1, 1, false, true, received == null ? 0 : received.status(), OptionalLong.empty(), 0, 0);
    }

    @Override
    public void deliver(int attemptsMade, DeliveryListener delivery) {
      ResponseHead received = head;
      deliveredStatus = received == null ? 0 : received.status();
      delivery.onHeadDelivered(deliveredStatus);
      if (isStreamed) {
        return;
      }
      RecordedResponse response = new RecordedResponse(deliveredStatus, List.of(), new byte[0]);
      delivery.onCompleted(plan.captureResponse() ? Optional.of(response) : Optional.empty());
    }
  }
}
