package org.kumquatvane.membership;

import java.util.List;
import org.kumquatvane.core.PeerMessage;

/**
 * What one VM knows of the fleet, the sender's own entry first. Entries can be old, doubled or lost
 * without harm: the one with the highest incarnation and heartbeat counts.
 *
 * @param members some or all known members, at most {@link #MAXIMUM_ENTRIES}
 * @param replyRequested whether the sender asks for the receiver's members
 */
public record MemberReport(List<Member> members, boolean replyRequested) implements PeerMessage {
  /** Longest list; more VMs than a cell of the fleet has. */
  public static final int MAXIMUM_ENTRIES = 512;

  /** Copies the list. */
  public MemberReport {
    members = List.copyOf(members);
  }
}
