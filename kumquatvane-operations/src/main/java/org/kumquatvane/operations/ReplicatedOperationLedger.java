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
import org.kumquatvane.operations.internal.Coordination;
import org.kumquatvane.operations.internal.FinishJob;
import org.kumquatvane.operations.internal.HolderTable;
import org.kumquatvane.operations.internal.KeyTime;
import org.kumquatvane.operations.internal.Outbox;
import org.kumquatvane.operations.internal.Verdicts;

/**
 * Keeps each operation's record in two VMs of different failure domains, chosen by the agreed view.
 *
 * <p>docs/design.md, chapter 7.4, gives the rules. An operation may run only after all its holders
 * answered fresh under the view that this VM still holds.
 */
public final class ReplicatedOperationLedger
    implements OperationLedger, MembershipListener, DocumentListener {
  private static final long SHORTEST_POLL_NANOS = 20_000_000L;
  private static final int LONGEST_POLL_BACKOFF = 3;
  private static final long SHORTEST_FINISH_WAIT_NANOS = 50_000_000L;

  private final RankedLock lock = new RankedLock(LockRank.OPERATIONS);
  private final Clock clock;
  private final Scheduler scheduler;
  private final PeerSender sender;
  private final FleetMembership membership;
  private final OperationSettings settings;
  private final VmId self;
  private final HolderTable holder;
  private final PeerDispatcher local = new PeerDispatcher();
  private final Map<AttemptId, Coordination> coordinations = new HashMap<>();
  private final Map<Operation, Running> running = new HashMap<>();
  private final Map<AttemptId, FinishJob> finishing = new HashMap<>();
  private long attempts;

  /**
   * Creates a ledger that answers "unknown" until an agreed view contains this VM.
   *
   * @param clock clock of deadlines and key times
   * @param scheduler runs timers
   * @param sender sends messages to other VMs
   * @param membership agreed views; this ledger adds itself as a listener
   * @param monitor receives violations
   * @param settings bounds
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
    holder = new HolderTable(self, settings, monitor, clock.epochMillis());
    register(local);
    membership.addListener(this);
  }

  /**
   * Registers the handlers of this ledger's messages.
   *
   * @param dispatcher hands on received messages
   */
  public void register(PeerDispatcher dispatcher) {
    dispatcher.register(
        OperationBegin.class, (vm, message) -> locked(outbox -> holder.begin(vm, message, outbox)));
    dispatcher.register(
        OperationVerdict.class, (vm, message) -> locked(outbox -> answered(vm, message, outbox)));
    dispatcher.register(
        OperationFinish.class,
        (vm, message) -> locked(outbox -> holder.finish(vm, message, outbox)));
    dispatcher.register(
        FinishRecorded.class, (vm, message) -> locked(outbox -> finishRecorded(vm, message)));
    dispatcher.register(
        TransferRequest.class,
        (vm, message) -> locked(outbox -> holder.transferRequested(vm, message, outbox)));
    dispatcher.register(
        OperationTransfer.class,
        (vm, message) -> locked(outbox -> holder.transferred(vm, message)));
    dispatcher.register(
        TransferComplete.class,
        (vm, message) -> locked(outbox -> holder.transferCompleted(vm, message)));
  }

  @Override
  public void documentInForce(Document document) {
    locked(outbox -> holder.setMaximumVmCount(document.fleet().maximumVmCount()));
  }

  @Override
  public void viewAgreed(AgreedView view) {
    locked(outbox -> {});
  }

  @Override
  public void viewLost() {
    locked(outbox -> {});
  }

  @Override
  public void resumedAfterPause() {
    locked(outbox -> holder.endEra());
    locked(outbox -> {});
  }

  /** Sends this VM's records to the VMs that hold them after a planned stop. */
  public void handOver() {
    locked(holder::handOver);
  }

  /**
   * Returns the number of records that this VM keeps.
   *
   * @return number of records
   */
  public int recordCount() {
    return lock.call(holder::size);
  }

  @Override
  public void begin(Operation named, Deadline deadline, Consumer<BeginVerdict> verdict) {
    OptionalLong madeMillis = KeyTime.of(named.idempotencyKey());
    long nowMillis = clock.epochMillis();
    if (madeMillis.isEmpty()
        || madeMillis.getAsLong() > nowMillis + settings.clockSkew().toMillis()) {
      verdict.accept(new BeginVerdict.KeyMalformed());
      return;
    }
    Operation operation = KeyTime.canonical(named);
    locked(
        outbox -> {
          Coordination coordination = new Coordination(operation, nextAttempt(), deadline, verdict);
          coordinations.put(coordination.attempt(), coordination);
          poll(coordination, outbox);
        });
  }

  private AttemptId nextAttempt() {
    return new AttemptId(self, ++attempts);
  }

  /** Asks the holders that have not answered fresh, until the verdict or the deadline. */
  private void poll(Coordination coordination, Outbox outbox) {
    if (coordinations.get(coordination.attempt()) != coordination) {
      return;
    }
    long leftNanos = coordination.deadline().nanos() - outbox.nowNanos();
    if (leftNanos <= 0) {
      conclude(coordination, new HolderAnswer.Unknown(), outbox);
      return;
    }
    ask(coordination, outbox);
    long waitNanos =
        SHORTEST_POLL_NANOS << Math.min(coordination.countPoll(), LONGEST_POLL_BACKOFF);
    outbox.in(Math.min(waitNanos, leftNanos), later -> poll(coordination, later));
  }

  private void ask(Coordination coordination, Outbox outbox) {
    AgreedView view = holder.view();
    if (view == null) {
      return;
    }
    coordination.useView(
        view.digest(), holder.eraNumber(), holder.holders(coordination.operation()));
    for (VmId vm : coordination.toAsk()) {
      outbox.send(
          vm,
          new OperationBegin(
              coordination.operation(), coordination.attempt(), coordination.viewDigest()));
    }
  }

  private void answered(VmId vm, OperationVerdict message, Outbox outbox) {
    Coordination coordination = coordinations.get(message.attempt());
    AgreedView view = holder.view();
    if (coordination == null
        || view == null
        || view.digest() != message.viewDigest()
        || !coordination.isInEra(holder.eraNumber())
        || !coordination.answered(vm, message.viewDigest(), message.answer())) {
      return;
    }
    HolderAnswer ending = coordination.ending();
    if (ending != null) {
      conclude(coordination, ending, outbox);
    } else if (coordination.mustGiveWay()) {
      giveWay(coordination, outbox);
    } else if (coordination.isFresh()) {
      coordinations.remove(coordination.attempt());
      running.put(
          coordination.operation(),
          new Running(coordination.attempt(), Set.copyOf(coordination.asked())));
      outbox.decide(coordination.verdict(), new BeginVerdict.Proceed());
    } else if (coordination.firstIsFresh()) {
      ask(coordination, outbox);
    }
  }

  private void giveWay(Coordination coordination, Outbox outbox) {
    release(coordination, new OperationResult.NotRun(), outbox);
    coordination.giveWay(nextAttempt());
    coordinations.put(coordination.attempt(), coordination);
  }

  private void conclude(Coordination coordination, HolderAnswer ending, Outbox outbox) {
    OperationResult learned =
        ending instanceof HolderAnswer.Ended ended ? ended.result() : new OperationResult.NotRun();
    release(coordination, learned, outbox);
    outbox.decide(coordination.verdict(), Verdicts.of(ending));
  }

  /** Ends a try that did not run, and tells the holders what one of them knew. */
  private void release(Coordination coordination, OperationResult result, Outbox outbox) {
    coordinations.remove(coordination.attempt());
    if (!coordination.asked().isEmpty()) {
      startFinish(
          coordination.operation(), coordination.attempt(), result, coordination.asked(), outbox);
    }
  }

  @Override
  public void finish(Operation named, OperationResult result) {
    Operation operation = KeyTime.canonical(named);
    locked(
        outbox -> {
          Running ended = running.remove(operation);
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
    FinishJob job = new FinishJob(new OperationFinish(operation, attempt, result), holders);
    finishing.put(attempt, job);
    sendFinish(job, outbox);
  }

  private void sendFinish(FinishJob job, Outbox outbox) {
    boolean didNotRun = job.message().result() instanceof OperationResult.NotRun;
    if (job.tries() > 0 && !didNotRun) {
      job.add(holder.holders(job.message().operation()));
    }
    if (!job.tryAgain()) {
      finishing.remove(job.message().attempt());
      return;
    }
    job.open().forEach(vm -> outbox.send(vm, job.message()));
    long waitNanos = SHORTEST_FINISH_WAIT_NANOS << job.tries();
    outbox.in(waitNanos, later -> sendFinish(job, later));
  }

  private void finishRecorded(VmId vm, FinishRecorded message) {
    FinishJob job = finishing.get(message.attempt());
    if (job != null) {
      job.acknowledged(vm);
    }
  }

  private void sendTo(VmId vm, PeerMessage message, Collection<PeerMessage> toSelf) {
    if (vm.equals(self)) {
      toSelf.add(message);
    } else {
      sender.send(vm, message);
    }
  }

  private void locked(Outbox.Step step) {
    // The view is read first, since the lock of the membership ranks below this one.
    Optional<AgreedView> view = membership.agreedView();
    List<PeerMessage> toSelf = new ArrayList<>();
    Outbox outbox =
        new Outbox(clock, scheduler, (vm, message) -> sendTo(vm, message, toSelf), this::locked);
    lock.run(
        () -> {
          holder.observe(view, clock.monotonicNanos(), outbox);
          step.run(outbox);
        });
    outbox.run();
    toSelf.forEach(message -> local.dispatch(self, message));
  }

  private record Running(AttemptId attempt, Set<VmId> holders) {}
}
