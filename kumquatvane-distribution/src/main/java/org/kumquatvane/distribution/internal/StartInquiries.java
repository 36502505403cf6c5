package org.kumquatvane.distribution.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.kumquatvane.core.VmId;

/**
 * Chooses whom a VM that has just started asks for items from an earlier era, since it knows only
 * the copy to which the source has returned. Other VMs that have just started know no more, so
 * several are asked, one at a time, until one knows such items. Guarded by the lock of the feed.
 */
public final class StartInquiries {
  private static final int MAXIMUM_INQUIRIES = 12;

  private final Set<VmId> asked = new HashSet<>();
  private boolean isAnswered;

  /**
   * Returns the next VM to ask.
   *
   * @param peers the other VMs of the failure domain
   * @param random any number, so that VMs that start together ask different ones
   * @return the VM, or empty if no further one is to be asked now
   */
  public Optional<VmId> next(List<VmId> peers, long random) {
    if (isAnswered || asked.size() >= MAXIMUM_INQUIRIES || peers.isEmpty()) {
      return Optional.empty();
    }
    int first = (int) Math.floorMod(random, (long) peers.size());
    for (int i = 0; i < peers.size(); i++) {
      VmId peer = peers.get((first + i) % peers.size());
      if (asked.add(peer)) {
        return Optional.of(peer);
      }
    }
    return Optional.empty();
  }

  /** Records that this VM knows of a change of the era, so that it need not ask. */
  public void onAnswer() {
    isAnswered = true;
  }
}
