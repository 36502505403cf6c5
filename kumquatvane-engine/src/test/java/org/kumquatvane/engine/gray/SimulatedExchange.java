package org.kumquatvane.engine.gray;

import java.time.Duration;
import java.util.Optional;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.engine.Attempt;
import org.kumquatvane.engine.AttemptListener;
import org.kumquatvane.engine.AttemptPlan;
import org.kumquatvane.engine.AttemptTrace;
import org.kumquatvane.engine.DeliveryListener;
import org.kumquatvane.engine.Exchange;
import org.kumquatvane.engine.Refusal;
import org.kumquatvane.engine.ResponseHead;
import org.kumquatvane.operations.RecordedResponse;

/** One caller request whose attempts are sent to simulated instances with a network delay. */
final class SimulatedExchange implements Exchange {
  private static final Duration SAME_DOMAIN_DELAY = Duration.ofNanos(300_000);
  private static final Duration CROSS_DOMAIN_DELAY = Duration.ofNanos(1_500_000);
  private static final int OK = 200;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private final Simulation simulation;
  private final int vm;
  private final int workspace;
  private final boolean idempotent;
  private final long sentNanos;
  private final boolean isMeasured;

  SimulatedExchange(
      Simulation simulation, int vm, int workspace, boolean idempotent, long sentNanos) {
    this.simulation = simulation;
    this.vm = vm;
    this.workspace = workspace;
    this.idempotent = idempotent;
    this.sentNanos = sentNanos;
    isMeasured = simulation.isMeasured();
  }

  @Override
  public void refuse(Refusal refusal) {
    if (isMeasured) {
      simulation.result.refused[workspace]++;
      recordEnd(false);
    }
  }

  @Override
  public void abandon() {
    // Simulated callers do not leave.
  }

  @Override
  public void replay(RecordedResponse response) {
    throw new AssertionError("no operation is recorded");
  }

  private void recordEnd(boolean answered) {
    double millis = (simulation.clock.monotonicNanos() - sentNanos) / 1e6;
    if (answered && millis <= SimulationDocument.TIMEOUT.toMillis()) {
      simulation.result.inTime[workspace]++;
    }
    simulation
        .result
        .latencyMillis
        .get(workspace)
        .add(answered ? millis : (double) SimulationDocument.TIMEOUT.toMillis());
  }

  @Override
  public Attempt startAttempt(AttemptPlan plan, AttemptListener listener) {
    RemoteAttempt attempt = new RemoteAttempt(plan, listener);
    attempt.afterNetworkDelay(attempt::arrive);
    return attempt;
  }

  private final class RemoteAttempt implements Attempt {
    private final AttemptPlan plan;
    private final AttemptListener listener;
    private final InstanceId instance;
    private final FailureDomain domain;
    private final SimulatedInstance simulatedInstance;
    private final SimulatedInstance.Work work;
    private boolean delivered;
    private long slotNanos;
    private boolean isError;

    private RemoteAttempt(AttemptPlan plan, AttemptListener listener) {
      this.plan = plan;
      this.listener = listener;
      instance = plan.instance().id();
      domain = plan.instance().failureDomain();
      simulatedInstance = simulation.instances.get(instance);
      work =
          new SimulatedInstance.Work(
              simulation.serviceTime(instance, workspace),
              simulation.hangs(instance),
              this::onStarted,
              this::onCompleted,
              this::recordSlotTime);
    }

    @Override
    public boolean isReceived() {
      return true;
    }

    private void afterNetworkDelay(Runnable task) {
      Duration delay =
          domain.equals(Simulation.domain(vm)) ? SAME_DOMAIN_DELAY : CROSS_DOMAIN_DELAY;
      simulation.scheduler.schedule(Deadline.after(simulation.clock, delay), task);
    }

    private void arrive() {
      if (simulation.answersError(instance)) {
        isError = true;
        respond(new ResponseHead(SERVER_ERROR, false, false));
      } else if (!simulatedInstance.offer(work)) {
        respond(new ResponseHead(UNAVAILABLE, true, false));
      }
    }

    private void onStarted() {
      if (!idempotent) {
        simulation.recordOperationRun(plan.request().value());
      }
    }

    private void onCompleted() {
      respond(new ResponseHead(OK, false, false));
    }

    private void respond(ResponseHead head) {
      if (!simulation.losesAnswer(instance, domain, vm)) {
        afterNetworkDelay(() -> listener.onResponseHead(this, head));
      }
    }

    private void recordSlotTime(long nanos) {
      slotNanos = nanos;
      if (isMeasured) {
        simulation.result.usedSlotNanos += nanos;
        simulation.result.wastedSlotNanos += nanos;
      }
    }

    @Override
    public void cancel() {
      // Half of the running work does not react to the cancellation and continues.
      afterNetworkDelay(() -> simulatedInstance.cancel(work, simulation.random.nextBoolean()));
    }

    @Override
    public void discardResponse() {}

    @Override
    public AttemptTrace trace() {
      return AttemptTrace.NONE;
    }

    @Override
    public void deliver(int attempts, DeliveryListener deliveryListener) {
      if (!delivered) {
        delivered = true;
        if (isMeasured) {
          simulation.result.wastedSlotNanos -= slotNanos;
          recordEnd(!isError);
        }
        deliveryListener.onHeadDelivered(isError ? SERVER_ERROR : OK);
        deliveryListener.onCompleted(Optional.empty());
      }
    }
  }
}
