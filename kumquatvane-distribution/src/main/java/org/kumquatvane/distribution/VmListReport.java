package org.kumquatvane.distribution;

import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.membership.VmList;

/**
 * The newest VM list of the sender.
 *
 * @param list the list
 */
public record VmListReport(VmList list) implements PeerMessage {}
