package org.kumquatvane.operations.internal;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.AgreedView;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.operations.EndedView;
import org.kumquatvane.operations.FinishRecorded;
import org.kumquatvane.operations.HolderReply;
import org.kumquatvane.operations.Operation;
import org.kumquatvane.operations.OperationBegin;
import org.kumquatvane.operations.OperationFinish;
import org.kumquatvane.operations.OperationRecord;
import org.kumquatvane.operations.OperationSettings;
import org.kumquatvane.operations.OperationTransfer;
import org.kumquatvane.operations.OperationVerdict;
import org.kumquatvane.operations.TransferComplete;
import org.kumquatvane.operations.TransferRequest;

/** Role of this VM as a holder of records. Guarded by the lock of the ledger. */
public final class RecordHolder {
  private static final long MINIMUM_TRANSFER_RETRY_NANOS = 100_000_000L;
  private static final int MAXIMUM_BACKOFF_EXPONENT = 5;

  /**
   * All members request their records at about the same time, so the plan is needed only briefly.
   */
  private static final long PLAN_RETENTION_NANOS = 1_000_000_000L;

  private final VmId self;
  private final OperationSettings settings;
  private final RecordTable records;
  private final long startedMillis;
  private int maximumVmCount = Integer.MAX_VALUE;
  private @Nullable ViewPeriod period;
  private @Nullable EndedView previous;
  private @Nullable TransferPlan plan;
  private long lastRound;
  private long periodNumber;

  /**
   * Creates a holder without records or view.
   *
   * @param self this VM
   * @param settings limits of the records
   * @param monitor receives violations of invariants
   * @param startedMillis wall-clock time of the start of the process
   */
  public RecordHolder(
      VmId self, OperationSettings settings, InvariantMonitor monitor, long startedMillis) {
    this.self = self;
    this.settings = settings;
    this.startedMillis = startedMillis;
    records = new RecordTable(settings, monitor);
  }

  /**
   * Sets the maximum number of VM processes.
   *
   * @param count maximum number of VM processes that run at the same time
   */
  public void setMaximumVmCount(int count) {
    maximumVmCount = count;
  }

  /**
   * Applies the current agreed view; called at the start of every step.
   *
   * @param view the view in force, or empty
   * @param nowNanos monotonic time
   * @param outbox receives messages
   */
  public void updateView(Optional<AgreedView> view, long nowNanos, Outbox outbox) {
    ViewPeriod current = period;
    if (current != null && (view.isEmpty() || !current.extendWith(view.get(), nowNanos))) {
      endPeriod();
    }
    if (period == null
        && view.isPresent()
        && view.get().validUntil().nanos() - nowNanos > 0
        && view.get().contains(self)) {
      ViewPeriod next =
          new ViewPeriod(
              view.get(), previous, outbox.epochMillis(), settings.clockSkew().toMillis());
      period = next;
      periodNumber++;
      requestTransfers(next, 0, outbox);
    }
  }

  /**
   * Ends the current period, for example after a pause; the next one starts with a new transfer of
   * all records.
   */
  public void endPeriod() {
    ViewPeriod current = period;
    if (current != null) {
      previous = current.toEndedView(records.evictedMillis());
      period = null;
      plan = null;
    }
  }

  private void requestTransfers(ViewPeriod current, int tries, Outbox outbox) {
    if (current != period || current.isSettled()) {
      return;
    }
    for (VmId member : current.missingMembers()) {
      long round = ++lastRound;
      current.startRound(member, round);
      outbox.send(member, new TransferRequest(current.view().digest(), round));
    }
    long waitNanos = MINIMUM_TRANSFER_RETRY_NANOS << Math.min(tries, MAXIMUM_BACKOFF_EXPONENT);
    outbox.schedule(waitNanos, later -> requestTransfers(current, tries + 1, later));
  }

  /**
   * Returns the view from which holders are selected.
   *
   * @return the view, or null
   */
  public @Nullable AgreedView view() {
    return period == null ? null : period.view();
  }

  /**
   * Returns the number of the current period.
   *
   * @return a number that increases with each new period
   */
  public long periodNumber() {
    return periodNumber;
  }

  /**
   * Replies whether an operation may run, unless this VM cannot determine it yet.
   *
   * @param coordinator the sender
   * @param begin its message
   * @param outbox receives the reply
   */
  public void handleBegin(VmId coordinator, OperationBegin begin, Outbox outbox) {
    ViewPeriod current = period;
    if (current == null
        || current.view().digest() != begin.viewDigest()
        || !Holders.of(begin.operation(), current.view().members()).contains(self)) {
      return;
    }
    HolderReply reply =
        records.begin(
            begin.operation(), begin.attempt(), current.horizonMillis(), outbox.epochMillis());
    if (reply instanceof HolderReply.Unknown && !current.isSettled()) {
      // Records of the previous holders may still arrive; the coordinator queries this VM again.
      return;
    }
    outbox.send(coordinator, new OperationVerdict(begin.attempt(), begin.viewDigest(), reply));
  }

  /**
   * Records the result of an attempt.
   *
   * @param coordinator the sender
   * @param finish its message
   * @param outbox receives the acknowledgement
   */
  public void handleFinish(VmId coordinator, OperationFinish finish, Outbox outbox) {
    records.finish(finish.operation(), finish.attempt(), finish.result());
    outbox.send(coordinator, new FinishRecorded(finish.attempt()));
  }

  /**
   * Sends the records that a member of the same view holds to that member.
   *
   * @param member the sender
   * @param request its request
   * @param outbox receives the records
   */
  public void handleTransferRequest(VmId member, TransferRequest request, Outbox outbox) {
    ViewPeriod current = period;
    if (current == null || current.view().digest() != request.viewDigest()) {
      return;
    }
    TransferPlan planned = plan;
    if (planned == null) {
      planned = new TransferPlan(records.records(), current.view().members());
      plan = planned;
      outbox.schedule(PLAN_RETENTION_NANOS, later -> plan = null);
    }
    List<List<OperationRecord>> parts = planned.partsFor(member);
    for (int part = 0; part < parts.size(); part++) {
      outbox.send(member, new OperationTransfer(request.round(), part, parts.get(part)));
    }
    outbox.send(
        member,
        new TransferComplete(
            request.round(),
            parts.size(),
            current.previous(),
            Math.max(current.horizonMillis(), records.evictedMillis()),
            startedMillis));
  }

  /**
   * Merges records of another holder.
   *
   * @param sender the holder
   * @param transfer its records
   */
  public void handleTransfer(VmId sender, OperationTransfer transfer) {
    transfer.records().forEach(records::merge);
    if (period != null) {
      period.recordTransfer(sender, transfer, maximumVmCount);
    }
  }

  /**
   * Records that another holder has sent all its records.
   *
   * @param sender the holder
   * @param completion its completion message
   */
  public void handleTransferComplete(VmId sender, TransferComplete completion) {
    if (period != null) {
      period.recordCompletion(sender, completion, maximumVmCount);
    }
  }

  /**
   * Sends all records to the VMs that will hold them after this VM has left.
   *
   * @param outbox receives the records
   */
  public void handOver(Outbox outbox) {
    ViewPeriod current = period;
    if (current == null) {
      return;
    }
    List<Vm> remaining =
        current.view().members().stream().filter(vm -> !vm.id().equals(self)).toList();
    TransferPlan leaving = new TransferPlan(records.records(), remaining);
    for (Vm vm : remaining) {
      leaving
          .partsFor(vm.id())
          .forEach(part -> outbox.send(vm.id(), new OperationTransfer(0, 0, part)));
    }
  }

  /**
   * Returns the holders of an operation under the current view.
   *
   * @param operation the operation
   * @return their names, empty without a view
   */
  public List<VmId> holders(Operation operation) {
    return period == null ? List.of() : Holders.of(operation, period.view().members());
  }

  /**
   * Returns the number of records.
   *
   * @return number of records
   */
  public int size() {
    return records.size();
  }
}
