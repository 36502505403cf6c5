package org.kumquatvane.settings;

import java.util.Optional;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Listener for operators.
 *
 * @param endpoint address and port
 * @param token bearer token; required unless the address is a loopback address
 */
public record AdminListener(SocketEndpoint endpoint, Optional<Secret> token) {}
