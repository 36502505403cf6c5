package org.kumquatvane.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.kumquatvane.admission.internal.ServiceQueue;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Reason;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.document.Service;

/**
 * Admission queue that divides slot time evenly between the workspaces with waiting requests.
 *
 * <p>Fairness is measured in slot time and not in requests, so that a workspace with slow requests
 * gets no more capacity than one with fast requests.
 */
public final class FairAdmissionQueue implements AdmissionQueue, DocumentListener {
  private final RankedLock lock = new RankedLock(LockRank.ADMISSION);
  private final Clock clock;
  private final Map<ServiceName, ServiceQueue> queues = new HashMap<>();

  /**
   * Creates a queue without services.
   *
   * @param clock clock of the deadlines
   */
  public FairAdmissionQueue(Clock clock) {
    this.clock = clock;
  }

  @Override
  public void documentInForce(Document document) {
    lock.run(
        () -> {
          for (Service service : document.services()) {
            queues
                .computeIfAbsent(service.name(), unused -> new ServiceQueue())
                .setPolicy(service.queue());
          }
        });
  }

  @Override
  public Optional<Reason> enqueue(ServiceName service, WaitingRequest request) {
    return lock.call(() -> queue(service).enqueue(request, clock));
  }

  @Override
  public Optional<WaitingRequest> pollNext(ServiceName service) {
    List<WaitingRequest> expired = new ArrayList<>();
    Optional<WaitingRequest> next = lock.call(() -> queue(service).pollNext(clock, expired));
    expired.forEach(WaitingRequest::onDeadlineExpired);
    return next;
  }

  @Override
  public <S> Optional<GrantedSlot<S>> grant(
      ServiceName service, Function<WaitingRequest, Optional<S>> slots) {
    List<WaitingRequest> expired = new ArrayList<>();
    Optional<GrantedSlot<S>> granted = lock.call(() -> grantFirst(queue(service), slots, expired));
    expired.forEach(WaitingRequest::onDeadlineExpired);
    return granted;
  }

  private <S> Optional<GrantedSlot<S>> grantFirst(
      ServiceQueue queue,
      Function<WaitingRequest, Optional<S>> slots,
      List<WaitingRequest> expired) {
    Optional<WaitingRequest> first = queue.pollNext(clock, expired);
    if (first.isEmpty()) {
      return Optional.empty();
    }
    Optional<S> slot = slots.apply(first.get());
    if (slot.isEmpty()) {
      queue.requeue(first.get());
    }
    return slot.map(found -> new GrantedSlot<>(first.get(), found));
  }

  @Override
  public boolean remove(ServiceName service, WaitingRequest request) {
    return lock.call(() -> queue(service).remove(request));
  }

  @Override
  public void charge(ServiceName service, WorkspaceId workspace, long slotNanos) {
    lock.run(() -> queue(service).charge(workspace, slotNanos));
  }

  @Override
  public void refund(ServiceName service, WorkspaceId workspace) {
    lock.run(() -> queue(service).refund(workspace));
  }

  @Override
  public int waitingCount(ServiceName service) {
    return lock.call(() -> queue(service).waitingCount());
  }

  @Override
  public Deadline latestUsefulStart(ServiceName service, WaitingRequest request) {
    long needed = lock.call(() -> queue(service).minimumUsefulNanos());
    long now = clock.monotonicNanos();
    return new Deadline(Math.max(now, request.deadline().nanos() - needed));
  }

  private ServiceQueue queue(ServiceName service) {
    return queues.computeIfAbsent(service, unused -> new ServiceQueue());
  }
}
