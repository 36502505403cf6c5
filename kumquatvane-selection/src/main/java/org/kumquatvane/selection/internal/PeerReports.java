package org.kumquatvane.selection.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.VmId;
import org.kumquatvane.selection.InstanceActivity;

/**
 * Latest activity report of each peer and the instances that it names. Guarded by the pool's lock.
 */
public final class PeerReports {
  private final Clock clock;
  private final Duration lifetime;
  private final Map<VmId, LatestReport> latestReports = new HashMap<>();
  private final Map<VmId, Set<InstanceId>> reportedInstances = new HashMap<>();

  private record LatestReport(long sequence, Deadline validUntil) {}

  /**
   * Creates an empty table.
   *
   * @param clock clock of the deadlines
   * @param lifetime time after which a report expires
   */
  public PeerReports(Clock clock, Duration lifetime) {
    this.clock = clock;
    this.lifetime = lifetime;
  }

  /**
   * Returns whether a message is newer than all previous ones of its sender, and records its
   * sequence number if so. Once the latest report has expired, any number is accepted, since the
   * sender may have restarted.
   *
   * @param sender the VM
   * @param sequence sequence number of the message
   * @return whether it must be applied
   */
  public boolean isNewer(VmId sender, long sequence) {
    LatestReport latest = latestReports.get(sender);
    if (latest != null && latest.sequence() >= sequence && !latest.validUntil().isReached(clock)) {
      return false;
    }
    latestReports.put(sender, new LatestReport(sequence, Deadline.after(clock, lifetime)));
    return true;
  }

  /**
   * Replaces the attempts in flight of a peer.
   *
   * @param sender the VM
   * @param message its message
   * @param states looks up the state of an instance
   * @return the instances that this or the previous report names
   */
  public Set<InstanceId> apply(
      VmId sender, InstanceActivity message, Function<InstanceId, @Nullable InstanceState> states) {
    Map<InstanceId, List<Long>> started = new HashMap<>();
    long now = clock.monotonicNanos();
    for (InstanceActivity.Running running : message.running()) {
      started
          .computeIfAbsent(running.instance(), unused -> new ArrayList<>())
          .add(now - TimeUnit.MILLISECONDS.toNanos(running.ageMillis()));
    }
    Set<InstanceId> affected = new HashSet<>(reportedInstances.getOrDefault(sender, Set.of()));
    affected.addAll(started.keySet());
    Deadline until = Deadline.after(clock, lifetime);
    for (InstanceId instance : affected) {
      InstanceState state = states.apply(instance);
      List<Long> attempts = started.get(instance);
      if (state == null) {
        continue;
      }
      if (attempts == null) {
        state.removePeerAttempts(sender);
      } else {
        state.putPeerAttempts(sender, new PeerAttempts(attempts, until));
      }
    }
    reportedInstances.put(sender, started.keySet());
    return affected;
  }
}
