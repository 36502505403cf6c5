package org.kumquatvane.http;

import io.servicetalk.transport.api.IoExecutor;
import java.util.Optional;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Where and how a VM listens for callers.
 *
 * @param endpoint address and port
 * @param protocol protocol without TLS; with TLS the caller chooses by ALPN
 * @param tls certificate and key, if callers use TLS
 * @param limits sizes of heads and bodies
 * @param ioExecutor threads for input and output; empty for those of the library
 */
public record CallerServerSettings(
    SocketEndpoint endpoint,
    CallerProtocol protocol,
    Optional<TlsFiles> tls,
    MessageSizeLimits limits,
    Optional<IoExecutor> ioExecutor) {}
