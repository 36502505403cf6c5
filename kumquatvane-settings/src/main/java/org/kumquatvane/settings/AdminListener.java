package org.kumquatvane.settings;

import java.util.Optional;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Where operators connect.
 *
 * @param endpoint address and port
 * @param token bearer token; present whenever the address is not loopback
 */
public record AdminListener(SocketEndpoint endpoint, Optional<Secret> token) {}
