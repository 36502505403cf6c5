package org.kumquatvane.operations.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Invariant;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.operations.AttemptId;
import org.kumquatvane.operations.HolderReply;
import org.kumquatvane.operations.Operation;
import org.kumquatvane.operations.OperationRecord;
import org.kumquatvane.operations.OperationResult;
import org.kumquatvane.operations.OperationSettings;

/**
 * Records of operations in the order of the creation times of their keys. Not thread-safe.
 *
 * <p>After the eviction of a record, its key and all keys with earlier creation times are unknown.
 */
public final class RecordTable {
  private final TreeMap<Key, Entry> entries =
      new TreeMap<>(
          Comparator.comparingLong(Key::millis)
              .thenComparing(Key::workspace)
              .thenComparing(Key::text));
  private final OperationSettings settings;
  private final InvariantMonitor monitor;
  private long evictedMillis = Long.MIN_VALUE;

  /**
   * Creates an empty table.
   *
   * @param settings limits of the records
   * @param monitor receives violations of invariants
   */
  public RecordTable(OperationSettings settings, InvariantMonitor monitor) {
    this.settings = settings;
    this.monitor = monitor;
  }

  /**
   * Decides on an attempt, and records it as in progress if it is granted.
   *
   * @param operation the operation
   * @param attempt the attempt
   * @param horizonMillis keys without a record are unknown unless their creation time is later,
   *     milliseconds since the Unix epoch
   * @param nowMillis wall-clock time
   * @return the reply
   */
  public HolderReply begin(
      Operation operation, AttemptId attempt, long horizonMillis, long nowMillis) {
    evict(nowMillis);
    Key key = key(operation);
    Entry entry = entries.get(key);
    HolderReply blocking = entry == null ? null : entry.blockingReply(operation, attempt);
    if (blocking != null) {
      return blocking;
    }
    // Checked for a recorded attempt too: another one may have run elsewhere since it was recorded.
    if (key.millis <= Math.max(horizonMillis, evictedMillis)) {
      return new HolderReply.Unknown();
    }
    entries.computeIfAbsent(key, unused -> new Entry(operation)).grant(operation, attempt, monitor);
    return new HolderReply.Granted();
  }

  /**
   * Records the result of an attempt.
   *
   * @param operation the operation
   * @param attempt the attempt
   * @param result its result
   */
  public void finish(Operation operation, AttemptId attempt, OperationResult result) {
    Key key = key(operation);
    if (key.millis > evictedMillis) {
      Entry entry = entries.computeIfAbsent(key, unused -> new Entry(operation));
      entry.open.remove(attempt);
      entry.ended.add(attempt);
      entry.recordResult(result);
    }
  }

  /**
   * Merges the record of another holder.
   *
   * @param record its record
   */
  public void merge(OperationRecord record) {
    Key key = key(record.operation());
    if (key.millis > evictedMillis) {
      entries.computeIfAbsent(key, unused -> new Entry(record.operation())).merge(record);
    }
  }

  /**
   * Returns all records.
   *
   * @return copies, the oldest key first
   */
  public List<OperationRecord> records() {
    List<OperationRecord> records = new ArrayList<>(entries.size());
    entries.values().forEach(entry -> records.add(entry.record()));
    return records;
  }

  /**
   * Removes records that exceed the retention time or the maximum count.
   *
   * @param nowMillis wall-clock time
   */
  public void evict(long nowMillis) {
    evictedMillis = Math.max(evictedMillis, nowMillis - settings.retention().toMillis());
    while (!entries.isEmpty()
        && (entries.size() > settings.maximumRecords()
            || entries.firstKey().millis <= evictedMillis)) {
      evictedMillis = Math.max(evictedMillis, entries.pollFirstEntry().getKey().millis);
    }
  }

  /**
   * Returns the latest creation time of a key whose record may have been evicted.
   *
   * @return milliseconds since the Unix epoch
   */
  public long evictedMillis() {
    return evictedMillis;
  }

  /**
   * Returns the number of records.
   *
   * @return number of records
   */
  public int size() {
    return entries.size();
  }

  private static Key key(Operation operation) {
    String text = operation.idempotencyKey();
    return new Key(
        IdempotencyKeys.creationMillis(text).orElse(Long.MIN_VALUE), operation.workspace(), text);
  }

  private record Key(long millis, WorkspaceId workspace, String text) {}

  private static final class Entry {
    private Operation operation;
    private final Set<AttemptId> open = new HashSet<>(2);
    private final Set<AttemptId> ended = new HashSet<>(2);
    private @Nullable OperationResult result;

    Entry(Operation operation) {
      this.operation = operation;
    }

    /** Returns the reply that prevents a run, or null. */
    @Nullable HolderReply blockingReply(Operation requested, AttemptId attempt) {
      OperationResult known = result;
      boolean used = known != null || !open.isEmpty();
      if (used && !requested.requestDigest().equals(operation.requestDigest())) {
        return new HolderReply.Conflict();
      }
      if (known != null) {
        return new HolderReply.Ended(known);
      }
      boolean otherIsOpen = used && !open.equals(Set.of(attempt));
      return otherIsOpen || ended.contains(attempt) ? new HolderReply.InProgress() : null;
    }

    void grant(Operation granted, AttemptId attempt, InvariantMonitor monitor) {
      operation = granted;
      open.add(attempt);
      monitor.check(
          Invariant.OPERATION_AT_MOST_ONCE,
          open.size() == 1 && result == null,
          "workspace=" + operation.workspace() + " granted twice: " + open);
    }

    void recordResult(@Nullable OperationResult reported) {
      boolean hasRun = reported != null && !(reported instanceof OperationResult.NotRun);
      if (hasRun && (result == null || result instanceof OperationResult.Unknown)) {
        result = reported;
      }
    }

    void merge(OperationRecord record) {
      ended.addAll(record.ended());
      open.addAll(record.open());
      open.removeAll(ended);
      if (result == null && record.result() != null) {
        operation = record.operation();
      }
      recordResult(record.result());
    }

    OperationRecord record() {
      return new OperationRecord(operation, open, ended, result);
    }
  }
}
