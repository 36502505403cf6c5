package org.kumquatvane.distribution;

import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.membership.ConfigurationVersions;

/**
 * Requests all configuration that is newer than the sender's. A starting VM sends it because peers
 * ignore heartbeats of a VM that their VM list does not contain yet.
 *
 * @param known versions that the sender has
 */
public record ConfigurationInquiry(ConfigurationVersions known) implements PeerMessage {}
