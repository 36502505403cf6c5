package org.kumquatvane.http.internal;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpRequestFactory;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.engine.AttemptTrace;
import org.kumquatvane.http.BackendConnectionPool;

/** Use of a connection by one attempt, until it is released or discarded, whichever comes first. */
final class AttemptConnection {
  private final BackendConnectionPool connections;
  private final SocketEndpoint endpoint;
  private final BackendConnection connection;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicLong bodyBytes = new AtomicLong();

  /** Number of this request on the connection, from 1; 0 before it is sent. */
  private volatile int requestNumber;

  private volatile boolean wasCarriedBefore;

  /**
   * Creates the use of a connection.
   *
   * @param connections pool to which the connection belongs
   * @param endpoint the backend server
   * @param connection a connection that nobody else uses
   */
  AttemptConnection(
      BackendConnectionPool connections, SocketEndpoint endpoint, BackendConnection connection) {
    this.connections = connections;
    this.endpoint = endpoint;
    this.connection = connection;
  }

  /** Sends the request of the attempt; the same errors as {@link BackendConnection#send}. */
  Single<StreamingHttpResponse> send(
      ExpectedResponse response,
      Function<StreamingHttpRequestFactory, StreamingHttpRequest> request) {
    wasCarriedBefore = connection.hasCarried(response.request());
    requestNumber = connection.requestCount() + 1;
    return connection.send(response, request);
  }

  /** Returns whether no byte of the request has been written, and none ever will be. */
  boolean withdrawRequest() {
    return connection.withdrawRequest();
  }

  /** Returns whether the connection has carried other requests before this one. */
  boolean hasCarriedOthers() {
    return requestNumber > 1;
  }

  /** Returns whether the connection was closed for bytes that belong to no response. */
  boolean hasInvalidBytes() {
    return connection.guard().hasInvalidBytes();
  }

  /** Called when the head of the response has been received. */
  void onHead() {
    connection.guard().onProgress();
  }

  /** Called when a part of the body has been received. */
  void onBodyPart(Buffer part) {
    bodyBytes.addAndGet(part.readableBytes());
    connection.guard().onProgress();
  }

  /** Returns the connection to the pool; nothing was sent on it. */
  void releaseUnused() {
    if (end()) {
      connections.release(endpoint, connection, Optional.empty());
    }
  }

  /**
   * Ends the use after the whole response has been read. The connection returns to the pool only if
   * it can carry another request.
   *
   * @param isReusable whether the response allows that
   * @param announcedIdleTimeout idle timeout that the backend server announced, if any
   */
  void release(boolean isReusable, Optional<Duration> announcedIdleTimeout) {
    if (!end()) {
      return;
    }
    if (connection.guard().onResponseEnd() && isReusable && connection.canCarryMore()) {
      connections.release(endpoint, connection, announcedIdleTimeout);
    } else {
      connections.discard(endpoint, connection);
    }
  }

  /**
   * Closes the connection, whose state is unknown.
   *
   * @return whether it had not been released or discarded before
   */
  boolean discard() {
    boolean isFirst = end();
    if (isFirst) {
      connections.discard(endpoint, connection);
    }
    return isFirst;
  }

  private boolean end() {
    return ended.compareAndSet(false, true);
  }

  /**
   * Returns what is known of the connection and the response.
   *
   * @param status status of the response; 0 if no head has been read
   * @param declaredBytes declared length of its body in bytes, if any
   * @return the trace; {@link AttemptTrace#NONE} before the request is sent
   */
  AttemptTrace trace(int status, OptionalLong declaredBytes) {
    int number = requestNumber;
    if (number == 0) {
      return AttemptTrace.NONE;
    }
    return new AttemptTrace(
        connection.number(),
        number,
        wasCarriedBefore,
        connection.guard().isWritten(number),
        status,
        declaredBytes,
        bodyBytes.get(),
        connection.guard().extraBytes());
  }
}
