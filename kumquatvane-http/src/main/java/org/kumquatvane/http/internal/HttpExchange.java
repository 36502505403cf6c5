package org.kumquatvane.http.internal;

import static io.servicetalk.concurrent.api.Publisher.defer;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpRequestFactory;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.ExecutionStatus;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.engine.Attempt;
import org.kumquatvane.engine.AttemptListener;
import org.kumquatvane.engine.AttemptPlan;
import org.kumquatvane.engine.DeliveryListener;
import org.kumquatvane.engine.Exchange;
import org.kumquatvane.engine.Refusal;
import org.kumquatvane.engine.RunningRequest;
import org.kumquatvane.http.BackendConnectionPool;
import org.kumquatvane.http.HttpDialect;
import org.kumquatvane.operations.RecordedHeader;
import org.kumquatvane.operations.RecordedResponse;

/** HTTP request of a caller and its attempts at backend servers. */
final class HttpExchange implements Exchange {
  private final StreamingHttpRequest request;
  private final StreamingHttpResponseFactory responses;
  private final BufferAllocator allocator;
  private final RequestId requestId;
  private final BackendConnectionPool connections;
  private final HttpDialect dialect;
  private final BufferBudget budget;
  private final Consumer<StreamingHttpResponse> respond;
  private final AtomicBoolean bodyReleased = new AtomicBoolean();
  private volatile @Nullable CallerBody body;
  private volatile @Nullable Runnable bodyRelease;
  private volatile @Nullable Cancellable bodyRead;
  private volatile @Nullable RunningRequest running;
  private volatile @Nullable ResponseRelay relay;
  private volatile boolean callerDisconnected;

  HttpExchange(
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses,
      BufferAllocator allocator,
      RequestId requestId,
      BackendConnectionPool connections,
      HttpDialect dialect,
      BufferBudget budget,
      Consumer<StreamingHttpResponse> respond) {
    this.request = request;
    this.responses = responses;
    this.allocator = allocator;
    this.requestId = requestId;
    this.connections = connections;
    this.dialect = dialect;
    this.budget = budget;
    this.respond = respond;
  }

  void setBodyRead(Cancellable cancellable) {
    bodyRead = cancellable;
    if (callerDisconnected) {
      cancellable.cancel();
    }
  }

  void setBody(CallerBody ready, Runnable release) {
    bodyRead = null;
    body = ready;
    bodyRelease = release;
  }

  void setRunning(RunningRequest started) {
    running = started;
    if (callerDisconnected) {
      started.onCallerDisconnected();
    }
  }

  void onCallerDisconnected() {
    callerDisconnected = true;
    Cancellable reading = bodyRead;
    if (reading != null) {
      reading.cancel();
    }
    RunningRequest started = running;
    if (started != null) {
      started.onCallerDisconnected();
    }
    ResponseRelay delivering = relay;
    if (delivering != null) {
      delivering.drainUnlessSubscribed();
    }
  }

  @Override
  public void refuse(Refusal refusal) {
    releaseBody();
    respond.accept(dialect.createRefusal(responses, allocator, requestId, refusal));
  }

  @Override
  public void abandon() {
    releaseBody();
  }

  @Override
  public void replay(RecordedResponse recorded) {
    releaseBody();
    StreamingHttpResponse response =
        responses.newResponse(HttpResponseStatus.of(recorded.status(), ""));
    for (RecordedHeader header : recorded.headers()) {
      response.addHeader(HeaderNames.lowerCase(header.name()), header.value());
    }
    byte[] bytes = recorded.body();
    HeaderNames.setExecutionHeaders(response, ExecutionStatus.RUN, requestId, 0);
    response.setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(bytes.length));
    respond.accept(response.payloadBody(Publisher.from(allocator.wrap(bytes))));
  }

  @Override
  public Attempt startAttempt(AttemptPlan plan, AttemptListener listener) {
    BackendAttempt attempt =
        new BackendAttempt(this, connections, new BufferReservation(budget), plan, listener);
    attempt.start();
    return attempt;
  }

  boolean isHeadRequest() {
    return request.method().equals(HttpRequestMethod.HEAD);
  }

  /**
   * Builds the request for a backend server.
   *
   * @param factory creates the request
   * @param plan the attempt
   * @param remainingMillis time left for the backend server, in milliseconds
   * @return the request, without the caller's key
   */
  StreamingHttpRequest backendRequest(
      StreamingHttpRequestFactory factory, AttemptPlan plan, long remainingMillis) {
    StreamingHttpRequest outgoing = factory.newRequest(request.method(), request.requestTarget());
    HttpHeaders headers = outgoing.headers();
    dialect.prepareAttempt(request, outgoing, plan, remainingMillis);
    CallerBody sent = body;
    if (sent == null || sent.declaredLength() == 0) {
      if (request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, "0");
      }
      return outgoing;
    }
    if (sent.declaredLength() > 0) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, Long.toString(sent.declaredLength()));
    }
    return outgoing.payloadBody(sent.bytes());
  }

  /**
   * Forwards the response of a backend server to the caller.
   *
   * @param upstream response of the backend server
   * @param attempts number of attempts made
   * @param delivering forwards the body
   * @param listener notified when the head is passed on
   */
  void deliver(
      StreamingHttpResponse upstream,
      int attempts,
      ResponseRelay delivering,
      DeliveryListener listener) {
    StreamingHttpResponse response = responses.newResponse(upstream.status());
    dialect.prepareResponse(upstream, response, requestId, attempts);
    listener.onHeadDelivered(response.status().code());
    Publisher<Buffer> bytes = defer(delivering::subscribeOnce);
    relay = delivering;
    respond.accept(response.payloadBody(bytes));
    if (callerDisconnected) {
      delivering.drainUnlessSubscribed();
    }
  }

  HttpDialect dialect() {
    return dialect;
  }

  BufferAllocator allocator() {
    return allocator;
  }

  /** Releases the memory of the request body; no further attempt is possible. */
  void releaseBody() {
    Runnable release = bodyRelease;
    if (release != null && bodyReleased.compareAndSet(false, true)) {
      release.run();
    }
  }
}
