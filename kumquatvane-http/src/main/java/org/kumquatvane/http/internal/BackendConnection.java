package org.kumquatvane.http.internal;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpRequestFactory;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.util.function.Function;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.http.ExtraBytesListener;

/**
 * A connection to a backend server. One attempt at a time owns it, or its pool while it is idle.
 */
public final class BackendConnection {
  private final ReservedStreamingHttpConnection connection;
  private final long number;
  private final ResponseByteGuard guard;
  private final CarriedRequests carried = new CarriedRequests();

  private BackendConnection(
      ReservedStreamingHttpConnection connection, long number, ResponseByteGuard guard) {
    this.connection = connection;
    this.number = number;
    this.guard = guard;
  }

  /**
   * Takes over a new connection.
   *
   * @param connection a connection that has carried no request
   * @param server the backend server at its other end
   * @param number number of the connection, unique in the process
   * @param listener notified of bytes that belong to no response
   * @return the connection
   * @throws IllegalStateException if its bytes cannot be guarded
   */
  public static BackendConnection of(
      ReservedStreamingHttpConnection connection,
      SocketEndpoint server,
      long number,
      ExtraBytesListener listener) {
    if (!(connection.connectionContext() instanceof NettyConnectionContext context)) {
      throw new IllegalStateException("not a connection of the Netty transport: " + connection);
    }
    return new BackendConnection(
        connection,
        number,
        ResponseByteGuard.install(context.nettyChannel(), server, number, listener));
  }

  /**
   * Sends a request that the connection has not carried before.
   *
   * @param response the response that it expects
   * @param request creates the request
   * @return the response; after its failure, {@link #withdrawRequest} tells whether it was written
   * @throws IllegalStateException if the connection has carried the request or can carry no more
   */
  public Single<StreamingHttpResponse> send(
      ExpectedResponse response,
      Function<StreamingHttpRequestFactory, StreamingHttpRequest> request) {
    carried.add(response.request(), response.isHeadRequest());
    guard.onRequest(new EarlierResponseFilter(response, carried));
    return connection.request(request.apply(connection));
  }

  /**
   * Withdraws the last request, unless a byte of it has been written. After a withdrawal the
   * connection carries no other request.
   *
   * @return whether no byte of the request has been written, and none ever will be
   */
  boolean withdrawRequest() {
    return guard.withdrawRequest();
  }

  /** Returns whether the connection has carried a request with this ID. */
  boolean hasCarried(RequestId id) {
    return carried.contains(id);
  }

  /** Returns whether it can carry another request besides those that it has carried. */
  boolean canCarryMore() {
    return !carried.isFull();
  }

  /** Returns the number of requests that it has carried, including the present one. */
  int requestCount() {
    return carried.count();
  }

  /** Returns the number of the connection, unique in the process. */
  long number() {
    return number;
  }

  ResponseByteGuard guard() {
    return guard;
  }

  /** Returns whether neither side is known to have closed it. */
  boolean isOpen() {
    return guard.isOpen();
  }

  /** Reads while no request is under way, to notice the end of the connection and extra bytes. */
  public void watchIdle() {
    guard.watchIdle();
  }

  /** Closes it without waiting. */
  public void close() {
    connection.closeAsync().onErrorComplete().subscribe();
  }

  /**
   * Returns the end of the connection.
   *
   * @return completes when it is closed
   */
  public Completable onClose() {
    return connection.onClose();
  }
}
