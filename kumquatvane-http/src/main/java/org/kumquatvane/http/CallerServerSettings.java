package org.kumquatvane.http;

import java.util.Optional;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Where and how a VM listens for callers.
 *
 * @param endpoint address and port
 * @param protocol protocol without TLS; with TLS the caller chooses by ALPN
 * @param tls certificate and key, if callers use TLS
 * @param limits sizes of heads and bodies
 */
public record CallerServerSettings(
    SocketEndpoint endpoint, CallerProtocol protocol, Optional<TlsFiles> tls, BodyLimits limits) {}
