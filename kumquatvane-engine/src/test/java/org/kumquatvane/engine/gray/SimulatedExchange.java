package org.kumquatvane.engine.gray;

import java.time.Duration;
import java.util.Optional;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.engine.AnswerHead;
import org.kumquatvane.engine.Attempt;
import org.kumquatvane.engine.AttemptListener;
import org.kumquatvane.engine.AttemptPlan;
import org.kumquatvane.engine.DeliveryListener;
import org.kumquatvane.engine.Exchange;
import org.kumquatvane.engine.Refusal;
import org.kumquatvane.operations.RecordedResponse;

/** One request of a caller; its attempts travel to the fake instances and back. */
final class SimulatedExchange implements Exchange {
  private static final Duration NEAR = Duration.ofNanos(300_000);
  private static final Duration FAR = Duration.ofNanos(1_500_000);
  private static final int OK = 200;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private final Simulation simulation;
  private final int vm;
  private final int workspace;
  private final boolean idempotent;
  private final long sentNanos;
  private final boolean counts;

  SimulatedExchange(
      Simulation simulation, int vm, int workspace, boolean idempotent, long sentNanos) {
    this.simulation = simulation;
    this.vm = vm;
    this.workspace = workspace;
    this.idempotent = idempotent;
    this.sentNanos = sentNanos;
    counts = simulation.isMeasured();
  }

  @Override
  public void refuse(Refusal refusal) {
    if (counts) {
      simulation.outcome.refused[workspace]++;
      end(false);
    }
  }

  @Override
  public void replay(RecordedResponse answer) {
    throw new AssertionError("no operation is recorded");
  }

  private void end(boolean answered) {
    double millis = (simulation.clock.monotonicNanos() - sentNanos) / 1e6;
    if (answered && millis <= Documents.TIMEOUT.toMillis()) {
      simulation.outcome.inTime[workspace]++;
    }
    simulation
        .outcome
        .latencyMillis
        .get(workspace)
        .add(answered ? millis : (double) Documents.TIMEOUT.toMillis());
  }

  @Override
  public Attempt attempt(AttemptPlan plan, AttemptListener listener) {
    RemoteAttempt attempt = new RemoteAttempt(plan, listener);
    attempt.after(attempt::arrive);
    return attempt;
  }

  private final class RemoteAttempt implements Attempt {
    private final AttemptPlan plan;
    private final AttemptListener listener;
    private final InstanceId instance;
    private final FailureDomain domain;
    private final FakeInstance fake;
    private final FakeInstance.Work work;
    private boolean delivered;
    private long slotNanos;
    private boolean isError;

    private RemoteAttempt(AttemptPlan plan, AttemptListener listener) {
      this.plan = plan;
      this.listener = listener;
      instance = plan.instance().id();
      domain = plan.instance().failureDomain();
      fake = simulation.instances.get(instance);
      work =
          new FakeInstance.Work(
              simulation.serviceTime(instance, workspace),
              simulation.hangs(instance),
              this::started,
              this::completed,
              this::usedSlot);
    }

    private void after(Runnable task) {
      Duration delay = domain.equals(Simulation.domain(vm)) ? NEAR : FAR;
      simulation.scheduler.schedule(Deadline.after(simulation.clock, delay), task);
    }

    private void arrive() {
      if (simulation.answersError(instance)) {
        isError = true;
        answer(new AnswerHead(SERVER_ERROR, false, false));
      } else if (!fake.offer(work)) {
        answer(new AnswerHead(UNAVAILABLE, true, false));
      }
    }

    private void started() {
      if (!idempotent) {
        simulation.operationRan(plan.request().value());
      }
    }

    private void completed() {
      answer(new AnswerHead(OK, false, false));
    }

    private void answer(AnswerHead head) {
      if (!simulation.losesAnswer(instance, domain, vm)) {
        after(() -> listener.answered(this, head));
      }
    }

    private void usedSlot(long nanos) {
      slotNanos = nanos;
      if (counts) {
        simulation.outcome.usedSlotNanos += nanos;
        simulation.outcome.wastedSlotNanos += nanos;
      }
    }

    @Override
    public void cancel() {
      // Half of the instances' work does not notice that nobody waits any more.
      after(() -> fake.cancel(work, simulation.random.nextBoolean()));
    }

    @Override
    public void discardAnswer() {}

    @Override
    public void deliver(int attempts, DeliveryListener deliveryListener) {
      if (!delivered) {
        delivered = true;
        if (counts) {
          simulation.outcome.wastedSlotNanos -= slotNanos;
          end(!isError);
        }
        deliveryListener.completed(Optional.empty());
      }
    }
  }
}
