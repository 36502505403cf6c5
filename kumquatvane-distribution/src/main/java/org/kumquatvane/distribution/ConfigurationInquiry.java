package org.kumquatvane.distribution;

import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.membership.ConfigurationVersions;

/**
 * Asks for everything newer than what the sender has; a starting VM sends it, since peers whose VM
 * list does not show it yet ignore its heartbeats.
 *
 * @param known what the sender has
 */
public record ConfigurationInquiry(ConfigurationVersions known) implements PeerMessage {}
