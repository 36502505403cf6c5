package org.kumquatvane.operations;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.VmId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.membership.AgreedView;
import org.kumquatvane.membership.FleetMembership;
import org.kumquatvane.membership.MembershipListener;
import org.kumquatvane.operations.internal.FinishTransmission;
import org.kumquatvane.operations.internal.IdempotencyKeys;
import org.kumquatvane.operations.internal.Outbox;
import org.kumquatvane.operations.internal.PendingOperation;
import org.kumquatvane.operations.internal.RecordHolder;
import org.kumquatvane.operations.internal.Verdicts;

/**
 * Ledger that keeps each operation's record on two VMs of different failure domains, chosen from
 * the agreed view.
 *
 * <p>docs/design.md, chapter 7.4, gives the rules. An operation may run only after all its holders
 * have granted it under the view that this VM still holds.
 */
public final class ReplicatedOperationLedger
    implements OperationLedger, MembershipListener, DocumentListener {
  private static final long MINIMUM_POLL_NANOS = 20_000_000L;
  private static final int MAXIMUM_POLL_BACKOFF_EXPONENT = 3;
  private static final long MINIMUM_FINISH_RETRY_NANOS = 50_000_000L;

  private final RankedLock lock = new RankedLock(LockRank.OPERATIONS);
  private final Clock clock;
  private final Scheduler scheduler;
  private final PeerSender sender;
  private final FleetMembership membership;
  private final OperationSettings settings;
  private final VmId self;
  private final RecordHolder holder;
  private final PeerDispatcher local = new PeerDispatcher();
  private final Map<AttemptId, PendingOperation> pendingOperations = new HashMap<>();
  private final Map<Operation, RunningAttempt> running = new HashMap<>();
  private final Map<AttemptId, FinishTransmission> finishTransmissions = new HashMap<>();
  private long attempts;

  /**
   * Creates a ledger whose verdicts are "unknown" until an agreed view contains this VM.
   *
   * @param clock clock of deadlines and key times
   * @param scheduler runs timers
   * @param sender sends messages to other VMs
   * @param membership source of agreed views; this ledger registers itself as a listener
   * @param monitor receives violations of invariants
   * @param settings limits of the records
   */
  @SuppressWarnings("this-escape") // The class is final and its fields are set.
  public ReplicatedOperationLedger(
      Clock clock,
      Scheduler scheduler,
      PeerSender sender,
      FleetMembership membership,
      InvariantMonitor monitor,
      OperationSettings settings) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.sender = sender;
    this.membership = membership;
    this.settings = settings;
    self = membership.self().id();
    holder = new RecordHolder(self, settings, monitor, clock.epochMillis());
    registerHandlers(local);
    membership.addListener(this);
  }

  /**
   * Registers the handlers of this ledger's messages.
   *
   * @param dispatcher dispatches received messages
   */
  public void registerHandlers(PeerDispatcher dispatcher) {
    dispatcher.register(
        OperationBegin.class,
        (vm, message) -> runLocked(outbox -> holder.handleBegin(vm, message, outbox)));
    dispatcher.register(
        OperationVerdict.class,
        (vm, message) -> runLocked(outbox -> handleVerdict(vm, message, outbox)));
    dispatcher.register(
        OperationFinish.class,
        (vm, message) -> runLocked(outbox -> holder.handleFinish(vm, message, outbox)));
    dispatcher.register(
        FinishRecorded.class, (vm, message) -> runLocked(outbox -> finishRecorded(vm, message)));
    dispatcher.register(
        TransferRequest.class,
        (vm, message) -> runLocked(outbox -> holder.handleTransferRequest(vm, message, outbox)));
    dispatcher.register(
        OperationTransfer.class,
        (vm, message) -> runLocked(outbox -> holder.handleTransfer(vm, message)));
    dispatcher.register(
        TransferComplete.class,
        (vm, message) -> runLocked(outbox -> holder.handleTransferComplete(vm, message)));
  }

  @Override
  public void documentInForce(Document document) {
    runLocked(outbox -> holder.setMaximumVmCount(document.fleet().maximumVmCount()));
  }

  @Override
  public void viewAgreed(AgreedView view) {
    runLocked(outbox -> {});
  }

  @Override
  public void viewLost() {
    runLocked(outbox -> {});
  }

  @Override
  public void resumedAfterPause() {
    runLocked(outbox -> holder.endPeriod());
    runLocked(outbox -> {});
  }

  /** Sends this VM's records to the VMs that will hold them after its planned stop. */
  public void handOver() {
    runLocked(holder::handOver);
  }

  /**
   * Returns the number of records stored on this VM.
   *
   * @return number of records
   */
  public int recordCount() {
    return lock.call(holder::size);
  }

  @Override
  public void begin(Operation received, Deadline deadline, Consumer<BeginVerdict> verdict) {
    OptionalLong createdMillis = IdempotencyKeys.creationMillis(received.idempotencyKey());
    long nowMillis = clock.epochMillis();
    if (createdMillis.isEmpty()
        || createdMillis.getAsLong() > nowMillis + settings.clockSkew().toMillis()) {
      verdict.accept(new BeginVerdict.KeyMalformed());
      return;
    }
    Operation operation = IdempotencyKeys.canonicalize(received);
    runLocked(
        outbox -> {
          PendingOperation pending =
              new PendingOperation(operation, nextAttempt(), deadline, verdict);
          pendingOperations.put(pending.attempt(), pending);
          poll(pending, outbox);
        });
  }

  private AttemptId nextAttempt() {
    return new AttemptId(self, ++attempts);
  }

  /** Queries the holders that have not granted the operation, until the verdict or the deadline. */
  private void poll(PendingOperation pending, Outbox outbox) {
    if (pendingOperations.get(pending.attempt()) != pending) {
      return;
    }
    long leftNanos = pending.deadline().nanos() - outbox.nowNanos();
    if (leftNanos <= 0) {
      conclude(pending, new HolderReply.Unknown(), outbox);
      return;
    }
    queryHolders(pending, outbox);
    long waitNanos =
        MINIMUM_POLL_NANOS << Math.min(pending.countPoll(), MAXIMUM_POLL_BACKOFF_EXPONENT);
    outbox.schedule(Math.min(waitNanos, leftNanos), later -> poll(pending, later));
  }

  private void queryHolders(PendingOperation pending, Outbox outbox) {
    AgreedView view = holder.view();
    if (view == null) {
      return;
    }
    pending.setView(view.digest(), holder.periodNumber(), holder.holders(pending.operation()));
    for (VmId vm : pending.holdersToQuery()) {
      outbox.send(
          vm, new OperationBegin(pending.operation(), pending.attempt(), pending.viewDigest()));
    }
  }

  private void handleVerdict(VmId vm, OperationVerdict message, Outbox outbox) {
    PendingOperation pending = pendingOperations.get(message.attempt());
    AgreedView view = holder.view();
    if (pending == null
        || view == null
        || view.digest() != message.viewDigest()
        || !pending.isInPeriod(holder.periodNumber())
        || !pending.recordReply(vm, message.viewDigest(), message.reply())) {
      return;
    }
    HolderReply finalReply = pending.finalReply();
    if (finalReply != null) {
      conclude(pending, finalReply, outbox);
    } else if (pending.mustYield()) {
      yieldToOtherAttempt(pending, outbox);
    } else if (pending.isGrantedByAll()) {
      pendingOperations.remove(pending.attempt());
      running.put(
          pending.operation(),
          new RunningAttempt(pending.attempt(), Set.copyOf(pending.queriedHolders())));
      outbox.deliver(pending.verdict(), new BeginVerdict.Proceed());
    } else if (pending.continueAfterFirstHolder()) {
      queryHolders(pending, outbox);
    }
  }

  private void yieldToOtherAttempt(PendingOperation pending, Outbox outbox) {
    release(pending, new OperationResult.NotRun(), outbox);
    pending.restartAtFirstHolder(nextAttempt());
    pendingOperations.put(pending.attempt(), pending);
  }

  private void conclude(PendingOperation pending, HolderReply finalReply, Outbox outbox) {
    OperationResult learned =
        finalReply instanceof HolderReply.Ended ended
            ? ended.result()
            : new OperationResult.NotRun();
    release(pending, learned, outbox);
    outbox.deliver(pending.verdict(), Verdicts.of(finalReply));
  }

  /** Ends an attempt that did not run, and sends all holders the result known to one of them. */
  private void release(PendingOperation pending, OperationResult result, Outbox outbox) {
    pendingOperations.remove(pending.attempt());
    if (!pending.queriedHolders().isEmpty()) {
      startFinish(pending.operation(), pending.attempt(), result, pending.queriedHolders(), outbox);
    }
  }

  @Override
  public void finish(Operation received, OperationResult result) {
    Operation operation = IdempotencyKeys.canonicalize(received);
    runLocked(
        outbox -> {
          RunningAttempt ended = running.remove(operation);
          if (ended != null) {
            Set<VmId> holders = new HashSet<>(ended.holders);
            holders.addAll(holder.holders(operation));
            startFinish(operation, ended.attempt, result, holders, outbox);
          }
        });
  }

  private void startFinish(
      Operation operation,
      AttemptId attempt,
      OperationResult result,
      Collection<VmId> holders,
      Outbox outbox) {
    FinishTransmission transmission =
        new FinishTransmission(new OperationFinish(operation, attempt, result), holders);
    finishTransmissions.put(attempt, transmission);
    sendFinish(transmission, outbox);
  }

  private void sendFinish(FinishTransmission transmission, Outbox outbox) {
    boolean didNotRun = transmission.message().result() instanceof OperationResult.NotRun;
    if (transmission.transmissions() > 0 && !didNotRun) {
      transmission.addHolders(holder.holders(transmission.message().operation()));
    }
    if (!transmission.startTransmission()) {
      finishTransmissions.remove(transmission.message().attempt());
      return;
    }
    transmission.unacknowledged().forEach(vm -> outbox.send(vm, transmission.message()));
    long waitNanos = MINIMUM_FINISH_RETRY_NANOS << transmission.transmissions();
    outbox.schedule(waitNanos, later -> sendFinish(transmission, later));
  }

  private void finishRecorded(VmId vm, FinishRecorded message) {
    FinishTransmission transmission = finishTransmissions.get(message.attempt());
    if (transmission != null) {
      transmission.recordAcknowledgement(vm);
    }
  }

  private void sendTo(VmId vm, PeerMessage message, Collection<PeerMessage> toSelf) {
    if (vm.equals(self)) {
      toSelf.add(message);
    } else {
      sender.send(vm, message);
    }
  }

  private void runLocked(Outbox.Step step) {
    // The view is read first, since the membership lock ranks below this one.
    Optional<AgreedView> view = membership.agreedView();
    List<PeerMessage> toSelf = new ArrayList<>();
    Outbox outbox =
        new Outbox(clock, scheduler, (vm, message) -> sendTo(vm, message, toSelf), this::runLocked);
    lock.run(
        () -> {
          holder.updateView(view, clock.monotonicNanos(), outbox);
          step.run(outbox);
        });
    outbox.flush();
    toSelf.forEach(message -> local.dispatch(self, message));
  }

  private record RunningAttempt(AttemptId attempt, Set<VmId> holders) {}
}
