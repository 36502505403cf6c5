package org.kumquatvane.settings;

import java.util.Optional;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Where callers connect.
 *
 * @param endpoint address and port
 * @param protocol HTTP version
 * @param tls certificate and key; plain text without
 */
public record CallerListener(
    SocketEndpoint endpoint, CallerProtocol protocol, Optional<TlsFiles> tls) {}
