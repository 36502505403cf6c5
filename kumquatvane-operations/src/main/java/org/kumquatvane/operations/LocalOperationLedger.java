package org.kumquatvane.operations;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.VmId;
import org.kumquatvane.operations.internal.IdempotencyKeys;
import org.kumquatvane.operations.internal.RecordTable;
import org.kumquatvane.operations.internal.Verdicts;

/** Ledger of a single VM, without replication. */
public final class LocalOperationLedger implements OperationLedger {
  private final RankedLock lock = new RankedLock(LockRank.OPERATIONS);
  private final Clock clock;
  private final Scheduler scheduler;
  private final VmId self;
  private final OperationSettings settings;
  private final RecordTable records;
  private final long horizonMillis;
  private final Map<Operation, AttemptId> running = new HashMap<>();
  private final Map<Operation, List<Waiter>> waiters = new HashMap<>();
  private long attempts;

  /**
   * Creates an empty ledger. Keys created before the process started are unknown, since an earlier
   * process may have run their operations.
   *
   * @param clock clock of deadlines and key times
   * @param scheduler expires waits at their deadlines
   * @param self this VM
   * @param monitor receives violations of invariants
   * @param settings limits of the records
   */
  public LocalOperationLedger(
      Clock clock,
      Scheduler scheduler,
      VmId self,
      InvariantMonitor monitor,
      OperationSettings settings) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.self = self;
    this.settings = settings;
    records = new RecordTable(settings, monitor);
    horizonMillis = clock.epochMillis() + 2 * settings.clockSkew().toMillis();
  }

  @Override
  public void begin(Operation received, Deadline deadline, Consumer<BeginVerdict> verdict) {
    Operation operation = IdempotencyKeys.canonicalize(received);
    OptionalLong createdMillis = IdempotencyKeys.creationMillis(operation.idempotencyKey());
    long nowMillis = clock.epochMillis();
    if (createdMillis.isEmpty()
        || createdMillis.getAsLong() > nowMillis + settings.clockSkew().toMillis()) {
      verdict.accept(new BeginVerdict.KeyMalformed());
      return;
    }
    Waiter waiter = new Waiter(deadline, verdict);
    HolderReply reply =
        lock.call(
            () -> {
              AttemptId attempt = new AttemptId(self, ++attempts);
              HolderReply decided = records.begin(operation, attempt, horizonMillis, nowMillis);
              if (decided instanceof HolderReply.Granted) {
                running.put(operation, attempt);
              } else if (decided instanceof HolderReply.InProgress) {
                waiters.computeIfAbsent(operation, unused -> new ArrayList<>()).add(waiter);
              }
              return decided;
            });
    if (reply instanceof HolderReply.InProgress) {
      scheduler.schedule(deadline, () -> onWaitExpired(operation, waiter));
    } else {
      verdict.accept(Verdicts.of(reply));
    }
  }

  private void onWaitExpired(Operation operation, Waiter waiter) {
    boolean waiting =
        lock.call(
            () -> {
              List<Waiter> others = waiters.getOrDefault(operation, new ArrayList<>());
              boolean removed = others.remove(waiter);
              if (others.isEmpty()) {
                waiters.remove(operation);
              }
              return removed;
            });
    if (waiting) {
      waiter.verdict.accept(new BeginVerdict.Unknown());
    }
  }

  @Override
  public void finish(Operation received, OperationResult result) {
    Operation operation = IdempotencyKeys.canonicalize(received);
    List<Waiter> released =
        lock.call(
            () -> {
              AttemptId attempt = running.remove(operation);
              if (attempt == null) {
                return List.of();
              }
              records.finish(operation, attempt, result);
              List<Waiter> waiting = waiters.remove(operation);
              return waiting == null ? List.of() : waiting;
            });
    // Each waiter begins again. If the operation did not run, one proceeds and the others wait for
    // it.
    released.forEach(waiter -> begin(operation, waiter.deadline, waiter.verdict));
  }

  private static final class Waiter {
    private final Deadline deadline;
    private final Consumer<BeginVerdict> verdict;

    Waiter(Deadline deadline, Consumer<BeginVerdict> verdict) {
      this.deadline = deadline;
      this.verdict = verdict;
    }
  }
}
