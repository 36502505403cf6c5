package org.kumquatvane.http.internal;

import static io.servicetalk.concurrent.api.SourceAdapters.fromSource;
import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import io.netty.channel.ChannelOption;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.util.function.BooleanSupplier;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Reason;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.core.WorkerPool;
import org.kumquatvane.engine.Authorization;
import org.kumquatvane.engine.AuthorizedRequest;
import org.kumquatvane.engine.CallerRequest;
import org.kumquatvane.engine.Refusal;
import org.kumquatvane.engine.RequestEngine;
import org.kumquatvane.http.BackendConnectionPool;
import org.kumquatvane.http.CallerServerDependencies;
import org.kumquatvane.http.HttpDialect;
import org.kumquatvane.http.MessageSizeLimits;
import org.kumquatvane.http.RequestHeadResult;

/** ServiceTalk service that passes each request of a caller to the engine on the worker pool. */
public final class CallerService implements StreamingHttpService {
  private final RequestEngine engine;
  private final WorkerPool workers;
  private final BackendConnectionPool connections;
  private final Counters counters;
  private final HttpDialect dialect;
  private final BodyReader bodies;
  private final BufferBudget budget;
  private final BooleanSupplier isDraining;

  /**
   * Creates the service.
   *
   * @param dependencies collaborators of the service
   * @param limits size limits of heads and bodies
   */
  public CallerService(CallerServerDependencies dependencies, MessageSizeLimits limits) {
    engine = dependencies.engine();
    workers = dependencies.workers();
    connections = dependencies.connections();
    counters = dependencies.counters();
    dialect = dependencies.dialect();
    isDraining = dependencies.isDraining();
    budget = new BufferBudget(limits.maximumBufferedBytes());
    bodies = new BodyReader(limits, budget);
  }

  @Override
  public Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses) {
    closeOnHalfClosure(context);
    RequestHeadResult head = dialect.readHead(request);
    if (head instanceof RequestHeadResult.Invalid invalid) {
      counters.count(invalid.refusal().reason());
      return Single.succeeded(
          refuse(context, request, responses, invalid.requestId(), invalid.refusal()));
    }
    CallerRequest valid = ((RequestHeadResult.Valid) head).request();
    watchAfterBody(context, request);
    SingleSource.Processor<StreamingHttpResponse, StreamingHttpResponse> responseProcessor =
        Processors.newSingleProcessor();
    PendingRequest pending =
        new PendingRequest(context, request, responses, valid, responseProcessor);
    if (!workers.offer(pending::authorize)) {
      counters.count(Reason.OVERLOADED);
      Refusal refusal = Refusal.of(Reason.OVERLOADED, "the worker queue of this VM is full");
      return Single.succeeded(refuse(context, request, responses, valid.id(), refusal));
    }
    return fromSource(responseProcessor).beforeCancel(pending::onCallerDisconnected);
  }

  /**
   * Treats the end of the caller's stream as a disconnect. By default ServiceTalk keeps a
   * half-closed connection open until the response is written, so backend servers would process
   * abandoned requests.
   */
  private static void closeOnHalfClosure(HttpServiceContext context) {
    if (context instanceof NettyConnectionContext connection) {
      connection.nettyChannel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, false);
    }
  }

  /** Notices a disconnect from the end of the request on; before it, the body ends early. */
  private static void watchAfterBody(HttpServiceContext context, StreamingHttpRequest request) {
    DisconnectDetector.of(context)
        .ifPresent(
            detector -> {
              if (BodyFraming.hasBody(request.headers())) {
                request.transformPayloadBody(body -> body.afterOnComplete(detector::watch));
              } else {
                detector.watch();
              }
            });
  }

  private StreamingHttpResponse refuse(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses,
      RequestId id,
      Refusal refusal) {
    StreamingHttpResponse response =
        dialect.createRefusal(responses, context.executionContext().bufferAllocator(), id, refusal);
    if (BodyFraming.hasBody(request.headers())) {
      // Closing avoids reading the rest of the refused body, which must not be parsed as a new
      // request.
      response.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return closeIfDraining(response);
  }

  private StreamingHttpResponse closeIfDraining(StreamingHttpResponse response) {
    return isDraining.getAsBoolean()
        ? response.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        : response;
  }

  /** One request between its arrival and its hand-over to the engine: authorization and body. */
  private final class PendingRequest {
    private final HttpServiceContext context;
    private final StreamingHttpRequest request;
    private final StreamingHttpResponseFactory responses;
    private final CallerRequest head;
    private final SingleSource.Processor<StreamingHttpResponse, StreamingHttpResponse>
        responseProcessor;
    private final HttpExchange exchange;

    private PendingRequest(
        HttpServiceContext context,
        StreamingHttpRequest request,
        StreamingHttpResponseFactory responses,
        CallerRequest head,
        SingleSource.Processor<StreamingHttpResponse, StreamingHttpResponse> responseProcessor) {
      this.context = context;
      this.request = request;
      this.responses = responses;
      this.head = head;
      this.responseProcessor = responseProcessor;
      exchange =
          new HttpExchange(
              request,
              responses,
              context.executionContext().bufferAllocator(),
              head.id(),
              connections,
              dialect,
              budget,
              response -> responseProcessor.onSuccess(closeIfDraining(response)));
    }

    private void authorize() {
      Authorization authorization = engine.authorize(head);
      if (authorization instanceof Authorization.Denied denied) {
        deny(denied.refusal());
        return;
      }
      AuthorizedRequest granted = ((Authorization.Granted) authorization).request();
      if (!BodyFraming.hasBody(request.headers())) {
        // Runs on the current worker: passing the request to another one is a large part of the
        // latency that the proxy adds to a look-up.
        run(granted, BodyReader.noBody());
        return;
      }
      toSource(bodies.read(request, granted.route(), context.executionContext().bufferAllocator()))
          .subscribe(
              new SingleSource.Subscriber<BodyResult>() {
                @Override
                public void onSubscribe(Cancellable cancellable) {
                  exchange.setBodyRead(cancellable);
                }

                @Override
                public void onSuccess(BodyResult result) {
                  workers.resume(() -> run(granted, result));
                }

                @Override
                public void onError(Throwable failure) {
                  // The caller disconnected before its body was complete, so the response is never
                  // read.
                  counters.add("requests.abandoned", 1);
                  deny(Refusal.of(Reason.REQUEST_MALFORMED, "the body ended early"));
                }
              });
    }

    private void run(AuthorizedRequest granted, BodyResult result) {
      if (result instanceof BodyResult.Refused refused) {
        counters.count(refused.refusal().reason());
        deny(refused.refusal());
        return;
      }
      CallerBody body = ((BodyResult.Ready) result).body();
      exchange.setBody(body, () -> budget.release(body.reservedBytes()));
      exchange.setRunning(engine.run(granted, body.description(), exchange));
    }

    private void deny(Refusal refusal) {
      responseProcessor.onSuccess(refuse(context, request, responses, head.id(), refusal));
    }

    private void onCallerDisconnected() {
      exchange.onCallerDisconnected();
    }
  }
}
