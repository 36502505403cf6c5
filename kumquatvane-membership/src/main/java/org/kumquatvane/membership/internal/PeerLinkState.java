package org.kumquatvane.membership.internal;

import java.util.Set;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.MembershipSettings;

/**
 * State of the link from one other VM to this one, and the latest report of that VM. Guarded by the
 * membership lock.
 */
public final class PeerLinkState {
  /**
   * Maximum number of times the stability time is doubled, which bounds the wait of a flapping
   * link.
   */
  private static final int MAXIMUM_DOUBLINGS = 5;

  /** A link that stays up for this many silence timeouts has its failure count reset. */
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
   * Creates the state of a link on which nothing has been received.
   *
   * @param settings times of the protocol
   */
  public PeerLinkState(MembershipSettings settings) {
    this.settings = settings;
  }

  /**
   * Records the reception of a message.
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
   * Updates the state of the link.
   *
   * @param nowNanos monotonic time
   * @return whether the link is up
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
   * Returns the last computed state of the link.
   *
   * @return whether the link from that VM to this one is up
   */
  public boolean isUp() {
    return up;
  }

  /**
   * Restarts the silence timeout after a pause of this VM, during which it could not receive
   * messages.
   *
   * @param nowNanos monotonic time
   */
  public void restartSilenceTimeout(long nowNanos) {
    lastReceivedNanos = nowNanos;
  }

  /**
   * Records a report of that VM if it is newer than the previous one.
   *
   * @param sequence sequence number of the report
   * @param reported the VMs from which it receives no heartbeats
   * @return whether the report is newer than the previous one
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
   * Returns the VMs from which that VM receives no heartbeats.
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
