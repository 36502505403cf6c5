package org.kumquatvane.http;

import io.servicetalk.transport.api.IoExecutor;
import java.util.Optional;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Settings of the listener for callers.
 *
 * @param endpoint address and port
 * @param protocol protocol without TLS; with TLS the protocol is negotiated by ALPN
 * @param tls certificate and key, if callers use TLS
 * @param limits size limits of heads and bodies
 * @param ioExecutor I/O threads; empty for the default ones of ServiceTalk
 */
public record CallerServerSettings(
    SocketEndpoint endpoint,
    CallerProtocol protocol,
    Optional<TlsFiles> tls,
    MessageSizeLimits limits,
    Optional<IoExecutor> ioExecutor) {}
