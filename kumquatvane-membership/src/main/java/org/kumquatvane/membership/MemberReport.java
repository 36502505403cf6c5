package org.kumquatvane.membership;

import java.util.List;
import org.kumquatvane.core.PeerMessage;

/**
 * Members of the fleet known to the sender, its own entry first. Stale, duplicate or lost entries
 * are harmless, since the entry with the highest incarnation and heartbeat wins.
 *
 * @param members some or all known members, at most {@link #MAXIMUM_ENTRIES}
 * @param replyRequested whether the receiver replies with its own members
 */
public record MemberReport(List<Member> members, boolean replyRequested) implements PeerMessage {
  /** Maximum number of entries; more than a cell of the fleet has VMs. */
  public static final int MAXIMUM_ENTRIES = 512;

  /** Copies the list. */
  public MemberReport {
    members = List.copyOf(members);
  }
}
