package org.kumquatvane.peering.codec;

import java.util.Set;
import java.util.stream.Stream;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.ConfigurationMark;
import org.kumquatvane.membership.DepartureNotice;
import org.kumquatvane.membership.Heartbeat;
import org.kumquatvane.membership.HeartbeatReply;
import org.kumquatvane.membership.ReachabilityReport;

/** One or more messages of each type. */
final class SampleMessages {
  private SampleMessages() {}

  static Stream<PeerMessage> all() {
    return Stream.of(
        new Heartbeat(-7, Long.MIN_VALUE, new ConfigurationMark(12_345, 3, 77)),
        new HeartbeatReply(Integer.MAX_VALUE, Long.MAX_VALUE),
        new ReachabilityReport(1_760_000_000_000L, Set.of()),
        new ReachabilityReport(2, Set.of(new VmId("e1"), new VmId("ê2"))),
        new DepartureNotice(42));
  }
}
