package org.kumquatvane.ejection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.PeerMessageHandler;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.VmId;

/**
 * Blocks a request fingerprint once it has crashed several instances, as seen by any VM, without a
 * response in between.
 *
 * <p>A server that crashes for another reason also loses harmless requests. These are not blocked,
 * since they succeed when they are sent again. No fingerprint is blocked while more instances are
 * lost than it explains, as in a rack failure.
 */
public final class SharedCrashGuard implements CrashGuard, PeerMessageHandler<CrashReport> {
  /** Number of lost instances at which a request is blocked. */
  public static final int CRASH_INSTANCE_LIMIT = 2;

  /** Window within which losses are combined; callers retry a failed request within minutes. */
  private static final Duration LOSS_WINDOW = Duration.ofMinutes(2);

  private static final Duration BLOCK_DURATION = Duration.ofMinutes(10);

  /** Losses within this window may have a common cause. */
  private static final Duration COMMON_CAUSE_WINDOW = Duration.ofSeconds(10);

  /** Two concurrent poison requests each cause two losses that the other does not explain. */
  private static final int MAXIMUM_UNEXPLAINED_LOSSES = 3;

  private static final int MAXIMUM_FINGERPRINTS = 1_000;
  private static final int MAXIMUM_REPORTS_PER_SECOND = 10;

  private final RankedLock lock = new RankedLock(LockRank.EJECTION);
  private final Clock clock;
  private final Supplier<List<VmId>> peersInScope;
  private final PeerSender sender;
  private final Counters counters;
  private final EventLog eventLog;
  private final Map<RequestFingerprint, Map<InstanceId, Deadline>> suspects = new LinkedHashMap<>();
  private final Map<InstanceId, Deadline> recentLosses = new HashMap<>();

  /** Read without the lock on every request; bounded by the number of suspects. */
  private final Map<RequestFingerprint, Deadline> blocked = new ConcurrentHashMap<>();

  private volatile boolean hasSuspects;
  private Deadline reportWindowEnd;
  private int reportsInWindow;

  /**
   * Creates a guard without blocked fingerprints.
   *
   * @param clock clock of the deadlines
   * @param peersInScope returns the other VMs; called outside the lock
   * @param sender sends reports
   * @param counters counts losses and blocks
   * @param eventLog logs blocks
   */
  public SharedCrashGuard(
      Clock clock,
      Supplier<List<VmId>> peersInScope,
      PeerSender sender,
      Counters counters,
      EventLog eventLog) {
    this.clock = clock;
    this.peersInScope = peersInScope;
    this.sender = sender;
    this.counters = counters;
    this.eventLog = eventLog;
    reportWindowEnd = new Deadline(clock.monotonicNanos());
  }

  @Override
  public boolean isBlocked(RequestFingerprint fingerprint) {
    @Nullable Deadline until = blocked.get(fingerprint);
    return until != null && !until.isReached(clock);
  }

  @Override
  public void recordInstanceLoss(RequestFingerprint fingerprint, InstanceId instance) {
    counters.add("crash_guard.instance_lost", 1);
    recordLoss(fingerprint, instance);
    report(new CrashReport(fingerprint, instance, CrashReport.Outcome.INSTANCE_LOST));
  }

  @Override
  public void recordResponse(RequestFingerprint fingerprint, InstanceId instance) {
    if (hasSuspects && lock.call(() -> clear(fingerprint))) {
      report(new CrashReport(fingerprint, instance, CrashReport.Outcome.ANSWERED));
    }
  }

  @Override
  public void handle(VmId from, CrashReport message) {
    if (message.outcome() == CrashReport.Outcome.INSTANCE_LOST) {
      recordLoss(message.fingerprint(), message.instance());
    } else {
      lock.run(() -> clear(message.fingerprint()));
    }
  }

  private void recordLoss(RequestFingerprint fingerprint, InstanceId instance) {
    if (lock.call(() -> addLoss(fingerprint, instance))) {
      counters.add("crash_guard.fingerprint_blocked", 1);
      eventLog.record(
          EventLog.Level.WARNING,
          "crashing_request_blocked",
          LogField.of("fingerprint", fingerprint.value()),
          LogField.of("instance", instance));
    }
  }

  private boolean addLoss(RequestFingerprint fingerprint, InstanceId instance) {
    removeExpired();
    recentLosses.put(instance, Deadline.after(clock, COMMON_CAUSE_WINDOW));
    Map<InstanceId, Deadline> losses =
        suspects.computeIfAbsent(fingerprint, unused -> new HashMap<>());
    losses.put(instance, Deadline.after(clock, LOSS_WINDOW));
    evictOldestFingerprints();
    hasSuspects = true;
    if (losses.size() < CRASH_INSTANCE_LIMIT || isBlocked(fingerprint)) {
      return false;
    }
    long unexplained =
        recentLosses.keySet().stream().filter(lost -> !losses.containsKey(lost)).count();
    if (unexplained > MAXIMUM_UNEXPLAINED_LOSSES) {
      counters.add("crash_guard.common_cause", 1);
      return false;
    }
    blocked.put(fingerprint, Deadline.after(clock, BLOCK_DURATION));
    return true;
  }

  private void removeExpired() {
    recentLosses.values().removeIf(until -> until.isReached(clock));
    blocked.values().removeIf(until -> until.isReached(clock));
    for (Iterator<Map<InstanceId, Deadline>> iterator = suspects.values().iterator();
        iterator.hasNext(); ) {
      Map<InstanceId, Deadline> losses = iterator.next();
      losses.values().removeIf(until -> until.isReached(clock));
      if (losses.isEmpty()) {
        iterator.remove();
      }
    }
  }

  private void evictOldestFingerprints() {
    Iterator<RequestFingerprint> oldest = suspects.keySet().iterator();
    while (suspects.size() > MAXIMUM_FINGERPRINTS) {
      RequestFingerprint removed = oldest.next();
      oldest.remove();
      blocked.remove(removed);
    }
  }

  private boolean clear(RequestFingerprint fingerprint) {
    boolean wasSuspect = suspects.remove(fingerprint) != null;
    blocked.remove(fingerprint);
    hasSuspects = !suspects.isEmpty();
    return wasSuspect;
  }

  private void report(CrashReport report) {
    List<VmId> peers = new ArrayList<>(peersInScope.get());
    if (lock.call(this::tryCountReport)) {
      peers.forEach(peer -> sender.send(peer, report));
    }
  }

  /** Limits the bytes sent when many requests are lost at once. */
  private boolean tryCountReport() {
    if (reportWindowEnd.isReached(clock)) {
      reportWindowEnd = Deadline.after(clock, Duration.ofSeconds(1));
      reportsInWindow = 0;
    }
    reportsInWindow++;
    return reportsInWindow <= MAXIMUM_REPORTS_PER_SECOND;
  }
}
