package org.kumquatvane.membership.internal;

import java.util.Set;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.MembershipSettings;

/** What this VM heard from one other VM. Guarded by the membership lock. */
public final class PeerLinkState {
  /** Doubling the stability time at most this often bounds the wait of a flapping link. */
  private static final int MAXIMUM_DOUBLINGS = 5;

  /** A link that stayed intact for this many silence times has its breaks forgotten. */
  private static final int FAILURE_RESET_FACTOR = 20;

  private final MembershipSettings settings;
  private boolean everReceived;
  private boolean up;
  private long receivingSinceNanos;
  private long lastReceivedNanos;
  private int failures;
  private long reportSequence = Long.MIN_VALUE;
  private Set<VmId> reportedUnreachable = Set.of();

  /**
   * Creates evidence of a VM that was never heard.
   *
   * @param settings times of the protocol
   */
  public PeerLinkState(MembershipSettings settings) {
    this.settings = settings;
  }

  /**
   * Notes a received message.
   *
   * @param nowNanos monotonic time
   */
  public void messageReceived(long nowNanos) {
    if (!everReceived || isSilent(nowNanos)) {
      markDown();
      receivingSinceNanos = nowNanos;
      everReceived = true;
    }
    lastReceivedNanos = nowNanos;
  }

  /**
   * Judges the direction from that VM to this one.
   *
   * @param nowNanos monotonic time
   * @return whether the direction works
   */
  public boolean updateState(long nowNanos) {
    if (!everReceived || isSilent(nowNanos)) {
      markDown();
      return false;
    }
    long uninterruptedNanos = nowNanos - receivingSinceNanos;
    if (uninterruptedNanos
        >= settings.stability().toNanos() << Math.min(failures, MAXIMUM_DOUBLINGS)) {
      up = true;
    }
    if (up && uninterruptedNanos > settings.silenceTimeout().toNanos() * FAILURE_RESET_FACTOR) {
      failures = 0;
    }
    return up;
  }

  /**
   * Returns the last judgement.
   *
   * @return whether the direction from that VM to this one works
   */
  public boolean isUp() {
    return up;
  }

  /**
   * Restarts the silence time after a pause of this VM, during which it could hear nobody.
   *
   * @param nowNanos monotonic time
   */
  public void restartSilenceTimeout(long nowNanos) {
    lastReceivedNanos = nowNanos;
  }

  /**
   * Keeps the newest report of that VM.
   *
   * @param sequence sequence of the report
   * @param reported the VMs that it does not hear
   * @return whether the report is newer than the kept one
   */
  public boolean recordReport(long sequence, Set<VmId> reported) {
    if (sequence <= reportSequence) {
      return false;
    }
    reportSequence = sequence;
    reportedUnreachable = reported;
    return true;
  }

  /**
   * Returns the VMs that that VM does not hear.
   *
   * @return content of its newest report
   */
  public Set<VmId> reportedUnreachable() {
    return reportedUnreachable;
  }

  private boolean isSilent(long nowNanos) {
    return nowNanos - lastReceivedNanos > settings.silenceTimeout().toNanos();
  }

  private void markDown() {
    if (up) {
      up = false;
      failures++;
    }
  }
}
