package org.kumquatvane.http;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpProtocolConfig;
import io.servicetalk.http.api.HttpServerBuilder;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ServerSslConfigBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.http.internal.CallerByteGuard;
import org.kumquatvane.http.internal.CallerService;
import org.kumquatvane.http.internal.DisconnectDetector;
import org.kumquatvane.http.internal.ReloadingKeyManager;
import org.kumquatvane.http.internal.SingleKeyManagerFactory;

/** HTTP server that accepts the requests of callers. */
public final class CallerServer {
  /**
   * The limit of the ServiceTalk decoder, above which it closes the connection without a response,
   * is this multiple of the maximum head size; smaller heads get a refusal.
   */
  private static final int DECODER_HEAD_FACTOR = 4;

  private final HttpServerContext context;

  private CallerServer(HttpServerContext context) {
    this.context = context;
  }

  /**
   * Starts the server.
   *
   * @param settings address, protocol and limits
   * @param dependencies collaborators of the server
   * @return the running server
   * @throws IOException if the address cannot be bound or a certificate file cannot be read
   * @throws GeneralSecurityException if a certificate file has an unsupported format
   */
  public static CallerServer start(
      CallerServerSettings settings, CallerServerDependencies dependencies)
      throws IOException, GeneralSecurityException {
    SocketEndpoint endpoint = settings.endpoint();
    HttpServerBuilder builder =
        HttpServers.forAddress(new InetSocketAddress(endpoint.host(), endpoint.port()))
            .executionStrategy(HttpExecutionStrategies.offloadNone());
    settings.ioExecutor().ifPresent(builder::ioExecutor);
    int decoderLimit = settings.limits().maximumHeadBytes() * DECODER_HEAD_FACTOR;
    HttpProtocolConfig http1 =
        HttpProtocolConfigs.h1()
            .maxStartLineLength(decoderLimit)
            .maxHeaderFieldLength(decoderLimit)
            .build();
    HttpProtocolConfig http2 = HttpProtocolConfigs.h2Default();
    if (settings.tls().isPresent()) {
      ReloadingKeyManager keys =
          new ReloadingKeyManager(
              settings.tls().get(), dependencies.clock(), dependencies.eventLog());
      builder
          .protocols(http2, http1)
          .sslConfig(new ServerSslConfigBuilder(new SingleKeyManagerFactory(keys)).build());
    } else {
      builder.protocols(settings.protocol() == CallerProtocol.HTTP2 ? http2 : http1);
      if (settings.protocol() != CallerProtocol.HTTP2) {
        // HTTP/2 limits the list of fields itself.
        CallerByteGuard guard = new CallerByteGuard(decoderLimit);
        DisconnectDetector.Installer detectors = new DisconnectDetector.Installer();
        builder.appendLateConnectionAcceptor(
            connection -> {
              guard.install(connection);
              detectors.install(connection);
              return Completable.completed();
            });
      }
    }
    try {
      return new CallerServer(
          builder.listenStreamingAndAwait(new CallerService(dependencies, settings.limits())));
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("cannot listen for callers on " + endpoint, e);
    }
  }

  /**
   * Stops accepting connections, waits for the requests in flight and closes idle connections.
   *
   * @param limit maximum time to wait
   * @return whether all requests ended in time
   */
  public boolean closeGracefully(Duration limit) {
    try {
      context
          .closeAsyncGracefully()
          .toFuture()
          .get(Math.max(1, limit.toMillis()), TimeUnit.MILLISECONDS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } catch (ExecutionException | TimeoutException e) {
      context.closeAsync().onErrorComplete().subscribe();
      return false;
    }
  }
}
