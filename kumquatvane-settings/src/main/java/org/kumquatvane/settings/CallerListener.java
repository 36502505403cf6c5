package org.kumquatvane.settings;

import java.util.Optional;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Listener for callers.
 *
 * @param endpoint address and port
 * @param protocol HTTP version
 * @param tls certificate and key; plain text if empty
 */
public record CallerListener(
    SocketEndpoint endpoint, CallerProtocol protocol, Optional<TlsFiles> tls) {}
