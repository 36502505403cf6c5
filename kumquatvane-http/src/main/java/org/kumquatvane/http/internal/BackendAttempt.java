package org.kumquatvane.http.internal;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.core.Reason;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.engine.Attempt;
import org.kumquatvane.engine.AttemptListener;
import org.kumquatvane.engine.AttemptPlan;
import org.kumquatvane.engine.AttemptTrace;
import org.kumquatvane.engine.DeliveryListener;
import org.kumquatvane.engine.Refusal;
import org.kumquatvane.engine.ResponseHead;
import org.kumquatvane.http.BackendConnectionPool;
import org.kumquatvane.http.ResponseCheck;

/**
 * One attempt over one connection, which carries no other request until the response has been read.
 */
final class BackendAttempt implements Attempt {
  private static final int FIRST_STATUS_WITH_BODY = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /**
   * Maximum size of a buffered response with a declared length; the responses of current services
   * have at most 30 KB.
   */
  private static final int MAXIMUM_BUFFERED_BYTES = 128 << 10;

  /** Maximum declared length of an unwanted response that is read to keep its connection. */
  private static final int MAXIMUM_DISCARDED_BYTES = 64 << 10;

  private final HttpExchange exchange;
  private final BackendConnectionPool connections;
  private final BufferReservation reservation;
  private final AttemptPlan plan;
  private final SocketEndpoint endpoint;
  private final AttemptListener listener;
  private volatile @Nullable AttemptConnection connection;
  private volatile @Nullable StreamingHttpResponse response;
  private volatile @Nullable Cancellable pending;
  private volatile boolean cancelled;

  /** Body that is being collected or was read completely; null if the body is streamed. */
  private volatile @Nullable CollectedBody collected;

  private volatile boolean isReceived;

  /** Whether the response names the request. */
  private volatile boolean isNamed;

  BackendAttempt(
      HttpExchange exchange,
      BackendConnectionPool connections,
      BufferReservation reservation,
      AttemptPlan plan,
      AttemptListener listener) {
    this.exchange = exchange;
    this.connections = connections;
    this.reservation = reservation;
    this.plan = plan;
    this.listener = listener;
    endpoint = plan.instance().endpoint();
  }

  void start() {
    Optional<BackendConnection> idle =
        connections.acquireIdle(endpoint, plan.request(), plan.retryable());
    if (idle.isPresent()) {
      send(idle.get());
      return;
    }
    Optional<Single<BackendConnection>> opening =
        connections.open(endpoint, plan.maximumConnections());
    if (opening.isEmpty()) {
      listener.onFailure(AttemptFailure.CONNECT_FAILED, false);
      return;
    }
    subscribe(
        opening.get(),
        this::send,
        failure -> listener.onFailure(AttemptFailure.CONNECT_FAILED, false));
  }

  private void send(BackendConnection opened) {
    AttemptConnection used = new AttemptConnection(connections, endpoint, opened);
    connection = used;
    if (cancelled) {
      used.releaseUnused();
      return;
    }
    long remainingMillis =
        TimeUnit.NANOSECONDS.toMillis(plan.deadline().nanos() - System.nanoTime());
    subscribe(
        used.send(
            new ExpectedResponse(
                plan.request(),
                exchange.isHeadRequest(),
                exchange.dialect().repeatedResponseIdField()),
            requests -> exchange.backendRequest(requests, plan, remainingMillis)),
        received -> onHeadReceived(used, received),
        failure -> onRequestFailed(used));
  }

  private void onRequestFailed(AttemptConnection used) {
    boolean isUnwritten = used.withdrawRequest();
    used.discard();
    if (isUnwritten) {
      connections.discardIdle(endpoint);
      listener.onFailure(AttemptFailure.CONNECT_FAILED, false);
    } else if (used.hasInvalidBytes()) {
      listener.onFailure(AttemptFailure.ANSWER_INCOMPLETE, false);
    } else {
      probeInstance();
    }
  }

  /** Opens a new connection to distinguish a lost connection from a lost instance. */
  private void probeInstance() {
    Optional<Single<BackendConnection>> probe =
        connections.open(endpoint, plan.maximumConnections());
    if (probe.isEmpty()) {
      listener.onFailure(AttemptFailure.CONNECTION_LOST, false);
      return;
    }
    subscribe(
        probe.get(),
        opened -> {
          connections.release(endpoint, opened, Optional.empty());
          listener.onFailure(AttemptFailure.CONNECTION_LOST, false);
        },
        failure -> listener.onFailure(AttemptFailure.CONNECTION_LOST, true));
  }

  private void onHeadReceived(AttemptConnection used, StreamingHttpResponse received) {
    response = received;
    used.onHead();
    ResponseCheck check = exchange.dialect().checkResponse(received, plan, hasBody(received));
    if (check instanceof ResponseCheck.Unusable unusable) {
      abandonResponse(received);
      listener.onFailure(unusable.failure(), false);
      return;
    }
    ResponseCheck.Usable usable = (ResponseCheck.Usable) check;
    isNamed = usable.namesRequest();
    ResponseHead head = usable.head();
    if (head.notRun() && !isNamed && used.hasCarriedOthers()) {
      // The statement may be about another request of this connection.
      abandonResponse(received);
      listener.onFailure(AttemptFailure.ANSWER_CROSSED, false);
      return;
    }
    OptionalLong length = declaredLength(received);
    boolean buffers =
        exchange.dialect().buffersShortResponses()
            || (plan.captureResponse() && length.isPresent());
    if (buffers
        && length.orElse(0) <= MAXIMUM_BUFFERED_BYTES
        && reservation.grow(length.orElse(0))) {
      bufferResponse(received, head, length);
    } else {
      listener.onResponseHead(this, head);
    }
  }

  /** Reads a short response completely, so that no part of a truncated one reaches the caller. */
  private void bufferResponse(
      StreamingHttpResponse response, ResponseHead head, OptionalLong declared) {
    CollectedBody body = new CollectedBody(reservation, declared);
    collected = body;
    subscribe(
        response
            .payloadBody()
            .beforeOnNext(this::onBodyPart)
            .collect(() -> body, BackendAttempt::append),
        complete -> {
          if (!complete.isComplete()) {
            onCollectionFailed(body);
            return;
          }
          releaseConnection();
          isReceived = true;
          listener.onResponseHead(this, head);
        },
        failure -> onCollectionFailed(body));
  }

  private static CollectedBody append(CollectedBody body, Buffer part) {
    body.append(part);
    return body;
  }

  private void onCollectionFailed(CollectedBody body) {
    body.clear();
    reservation.release();
    discardConnection();
    listener.onFailure(AttemptFailure.ANSWER_INCOMPLETE, false);
  }

  private boolean hasBody(StreamingHttpResponse received) {
    int status = received.status().code();
    return !exchange.isHeadRequest()
        && status >= FIRST_STATUS_WITH_BODY
        && status != NO_CONTENT
        && status != NOT_MODIFIED;
  }

  private void abandonResponse(StreamingHttpResponse received) {
    discardConnection();
    toSource(received.payloadBody().ignoreElements().onErrorComplete())
        .subscribe(new CancellingSubscriber());
  }

  @Override
  public void cancel() {
    cancelled = true;
    Cancellable running = pending;
    if (running != null) {
      running.cancel();
    }
    CollectedBody body = collected;
    if (body != null && !isReceived) {
      body.clear();
    }
    reservation.release();
    AttemptConnection used = connection;
    if (used != null && used.discard()) {
      // The connection may have stopped responding; idle connections opened before it may have too.
      connections.discardIdle(endpoint);
    }
  }

  @Override
  public boolean isReceived() {
    return isReceived;
  }

  @Override
  public void discardResponse() {
    StreamingHttpResponse received = response;
    if (received == null) {
      return;
    }
    if (!isReceived
        && hasBody(received)
        && declaredLength(received).orElse(Long.MAX_VALUE) > MAXIMUM_DISCARDED_BYTES) {
      reservation.release();
      abandonResponse(received);
      return;
    }
    new ResponseRelay(
            received,
            body(received),
            declaredLength(received),
            false,
            new IgnoringDeliveryListener(),
            this::onBodyCompleted,
            this::onBodyFailed)
        .drainUnlessSubscribed();
  }

  private void onBodyCompleted() {
    reservation.release();
    releaseConnection();
  }

  private void onBodyFailed() {
    reservation.release();
    discardConnection();
  }

  @Override
  public AttemptTrace trace() {
    StreamingHttpResponse received = response;
    AttemptConnection used = connection;
    if (used == null) {
      return AttemptTrace.NONE;
    }
    return received == null
        ? used.trace(0, OptionalLong.empty())
        : used.trace(received.status().code(), declaredLength(received));
  }

  @Override
  public void deliver(int attempts, DeliveryListener delivery) {
    StreamingHttpResponse received = response;
    if (received == null) {
      throw new IllegalStateException("no response to deliver");
    }
    exchange.releaseBody();
    ResponseRelay relay =
        new ResponseRelay(
            received,
            body(received),
            declaredLength(received),
            plan.captureResponse(),
            delivery,
            this::onBodyCompleted,
            this::onBodyFailed);
    try {
      exchange.deliver(received, attempts, relay, delivery);
    } catch (RuntimeException failure) {
      // Without a response the caller would wait until its timeout.
      relay.drainUnlessSubscribed();
      exchange.refuse(Refusal.of(Reason.INTERNAL_ERROR, "the response cannot be forwarded"));
      throw failure;
    }
  }

  private ResponseBody body(StreamingHttpResponse received) {
    CollectedBody body = collected;
    return body == null
        ? new ResponseBody.Streamed(received.payloadBody().beforeOnNext(this::onBodyPart))
        : new ResponseBody.Buffered(body, exchange.allocator());
  }

  private void onBodyPart(Buffer part) {
    AttemptConnection used = connection;
    if (used != null) {
      used.onBodyPart(part);
    }
  }

  private OptionalLong declaredLength(StreamingHttpResponse received) {
    return hasBody(received)
        ? BodyFraming.declaredLength(received.headers())
        : OptionalLong.empty();
  }

  private void releaseConnection() {
    AttemptConnection used = connection;
    StreamingHttpResponse received = response;
    if (used != null && received != null) {
      // A late copy of a response without a name would be taken for that to the next request.
      used.release(
          isNamed && !closesConnection(received), KeepAlive.idleTimeout(received.headers()));
    }
  }

  private boolean closesConnection(StreamingHttpResponse received) {
    HttpHeaders headers = received.headers();
    boolean endsWithConnection =
        hasBody(received)
            && BodyFraming.declaredLength(headers).isEmpty()
            && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    return endsWithConnection
        || headers.containsIgnoreCase(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
  }

  private void discardConnection() {
    AttemptConnection used = connection;
    if (used != null) {
      used.discard();
    }
  }

  /** Ends the attempt if a step fails with an exception; it would otherwise end at its deadline. */
  private <T> void acceptOrFail(Consumer<T> step, T result) {
    try {
      step.accept(result);
    } catch (RuntimeException defect) {
      reservation.release();
      discardConnection();
      listener.onFailure(AttemptFailure.CONNECTION_LOST, false);
      throw defect;
    }
  }

  private <T> void subscribe(Single<T> single, Consumer<T> onSuccess, Consumer<Throwable> onError) {
    toSource(single)
        .subscribe(
            new SingleSource.Subscriber<T>() {
              @Override
              public void onSubscribe(Cancellable cancellable) {
                pending = cancellable;
                if (cancelled) {
                  cancellable.cancel();
                }
              }

              @Override
              public void onSuccess(@Nullable T result) {
                if (result != null) {
                  acceptOrFail(onSuccess, result);
                }
              }

              @Override
              public void onError(Throwable failure) {
                onError.accept(failure);
              }
            });
  }
}
