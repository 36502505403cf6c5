package org.kumquatvane.membership.internal;

import java.util.Set;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.MembershipSettings;

/** What this VM heard from one other VM. Guarded by the membership lock. */
public final class PeerEvidence {
  /** Doubling the stability time at most this often bounds the wait of a flapping link. */
  private static final int MAXIMUM_DOUBLINGS = 5;

  /** A link that stayed intact for this many silence times has its breaks forgotten. */
  private static final int FORGIVENESS_FACTOR = 20;

  private final MembershipSettings settings;
  private boolean heardBefore;
  private boolean intact;
  private long heardSinceNanos;
  private long lastHeardNanos;
  private int breaks;
  private long reportSequence = Long.MIN_VALUE;
  private Set<VmId> silent = Set.of();

  /**
   * Creates evidence of a VM that was never heard.
   *
   * @param settings times of the protocol
   */
  public PeerEvidence(MembershipSettings settings) {
    this.settings = settings;
  }

  /**
   * Notes a received message.
   *
   * @param nowNanos monotonic time
   */
  public void heard(long nowNanos) {
    if (!heardBefore || isSilent(nowNanos)) {
      breakLink();
      heardSinceNanos = nowNanos;
      heardBefore = true;
    }
    lastHeardNanos = nowNanos;
  }

  /**
   * Judges the direction from that VM to this one.
   *
   * @param nowNanos monotonic time
   * @return whether the direction works
   */
  public boolean evaluate(long nowNanos) {
    if (!heardBefore || isSilent(nowNanos)) {
      breakLink();
      return false;
    }
    long steadyNanos = nowNanos - heardSinceNanos;
    if (steadyNanos >= settings.stability().toNanos() << Math.min(breaks, MAXIMUM_DOUBLINGS)) {
      intact = true;
    }
    if (intact && steadyNanos > settings.silence().toNanos() * FORGIVENESS_FACTOR) {
      breaks = 0;
    }
    return intact;
  }

  /**
   * Returns the last judgement.
   *
   * @return whether the direction from that VM to this one works
   */
  public boolean isIntact() {
    return intact;
  }

  /**
   * Restarts the silence time after a pause of this VM, during which it could hear nobody.
   *
   * @param nowNanos monotonic time
   */
  public void excuseSilence(long nowNanos) {
    lastHeardNanos = nowNanos;
  }

  /**
   * Keeps the newest report of that VM.
   *
   * @param sequence sequence of the report
   * @param reported the VMs that it does not hear
   * @return whether the report is newer than the kept one
   */
  public boolean report(long sequence, Set<VmId> reported) {
    if (sequence <= reportSequence) {
      return false;
    }
    reportSequence = sequence;
    silent = reported;
    return true;
  }

  /**
   * Returns the VMs that that VM does not hear.
   *
   * @return content of its newest report
   */
  public Set<VmId> silent() {
    return silent;
  }

  private boolean isSilent(long nowNanos) {
    return nowNanos - lastHeardNanos > settings.silence().toNanos();
  }

  private void breakLink() {
    if (intact) {
      intact = false;
      breaks++;
    }
  }
}
