package org.kumquatvane.standins;

import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.channel.ChannelOption;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SingleTerminalSignalConsumer;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.io.IOException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.standins.ReceivedRequest.Outcome;
import org.kumquatvane.standins.internal.HttpListener;
import org.kumquatvane.standins.internal.Responses;
import org.kumquatvane.standins.internal.SlotTable;
import org.kumquatvane.standins.internal.WorkPlan;
import org.kumquatvane.standins.internal.WorkPlan.ResponseMode;

/**
 * One instance of a service, with gray failure modes that can be switched while it runs.
 *
 * <p>A request whose target contains {@code crash-instance} crashes the instance: the listening
 * socket and all connections are closed. The query parameters {@code workMillis} and {@code
 * answerBytes} override the processing time and the length of the response for one request.
 */
public final class BackendStandIn implements AutoCloseable {
  /** Maximum number of connections of an instance. */
  public static final int MAXIMUM_CONNECTIONS = 350;

  private static final String CRASH_MARKER = "crash-instance";
  private static final String REQUEST_ID = "kumquatvane-request-id";
  private static final int CHUNK_BYTES = 65_536;
  private static final byte[] FILLER =
      " ".repeat(CHUNK_BYTES).getBytes(java.nio.charset.StandardCharsets.US_ASCII);

  private final String id;
  private final String service;
  private final UniformRandomProvider random;
  private final Map<BackendParameter, Double> parameters = new EnumMap<>(BackendParameter.class);
  private final RequestLog log = new RequestLog();
  private final SlotTable slots = new SlotTable();
  private final HttpListener listener;
  private String previousRequestId = "none";
  private long startNanos = System.nanoTime();

  /**
   * Starts an instance.
   *
   * @param id unique name
   * @param service service name
   * @param port port on 127.0.0.1, 0 for a free one
   * @param seed seed of the processing times and of the gray modes
   */
  public BackendStandIn(String id, String service, int port, long seed) {
    this.id = id;
    this.service = service;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (BackendParameter parameter : BackendParameter.values()) {
      parameters.put(parameter, parameter.initial());
    }
    this.listener = new HttpListener(port, MAXIMUM_CONNECTIONS, this::handleRequest);
  }

  /**
   * Returns the name of the instance.
   *
   * @return a unique name
   */
  public String id() {
    return id;
  }

  /**
   * Returns the port of the instance.
   *
   * @return a port on 127.0.0.1
   */
  public int port() {
    return listener.port();
  }

  /**
   * Describes the instance for the VM list.
   *
   * @param failureDomain failure domain of its VM
   * @return the entry
   */
  public PlatformVm vm(String failureDomain) {
    return PlatformVm.backend(id, service, "127.0.0.1:" + port(), failureDomain);
  }

  /**
   * Sets a parameter.
   *
   * @param parameter parameter to change
   * @param value new value
   */
  public synchronized void set(BackendParameter parameter, double value) {
    parameters.put(parameter, value);
  }

  /**
   * Returns the requests received so far, in order of arrival.
   *
   * @return a copy
   */
  public List<ReceivedRequest> requests() {
    return log.snapshot();
  }

  /**
   * Returns the highest number of connections open at once.
   *
   * @return a count
   */
  public int peakConnections() {
    return listener.peakConnections();
  }

  /** Closes the listening socket and all connections; running requests are cancelled. */
  public void crash() {
    listener.close();
  }

  /** Starts the instance again on the same port, with a cold start. */
  public void restart() {
    synchronized (this) {
      startNanos = System.nanoTime();
    }
    listener.open();
  }

  @Override
  public void close() {
    listener.close();
  }

  /**
   * Writes the parameters and counts.
   *
   * @param json receives an object
   * @throws IOException if the output fails
   */
  public synchronized void writeState(JsonGenerator json) throws IOException {
    json.writeStartObject();
    json.writeStringField("id", id);
    json.writeStringField("service", service);
    json.writeNumberField("port", port());
    json.writeNumberField("slotsInUse", slots.slotsInUse());
    json.writeNumberField("peakSlotsInUse", slots.peakSlotsInUse());
    json.writeNumberField("waiting", slots.waitingCount());
    json.writeNumberField("connections", listener.connections());
    json.writeNumberField("peakConnections", listener.peakConnections());
    for (Map.Entry<BackendParameter, Double> parameter : parameters.entrySet()) {
      json.writeNumberField(parameter.getKey().name(), parameter.getValue());
    }
    json.writeEndObject();
  }

  /**
   * Writes the requests received so far.
   *
   * @param json receives an array
   * @throws IOException if the output fails
   */
  public void writeRequests(JsonGenerator json) throws IOException {
    log.writeTo(json);
  }

  private Single<StreamingHttpResponse> handleRequest(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses) {
    closeOnHalfClosure(context);
    if (request.path().equals("/health")) {
      int status =
          isEnabled(BackendParameter.DRAINING) && !isEnabled(BackendParameter.HEALTH_LIES)
              ? 503
              : 200;
      return Single.succeeded(
          Responses.withText(responses, status, status == 200 ? "ok" : "draining"));
    }
    if (request.path().equals("/load")) {
      return Single.succeeded(
          Responses.withBody(responses, 200, Responses.renderJson(this::writeState)));
    }
    return request
        .toRequest()
        .flatMap(
            whole ->
                processRequest(context, whole, responses)
                    .map(response -> nameRequest(whole, response)));
  }

  private StreamingHttpResponse nameRequest(HttpRequest request, StreamingHttpResponse response) {
    CharSequence requestId = request.headers().get(REQUEST_ID);
    if (!isEnabled(BackendParameter.ECHO_REQUEST_ID)) {
      response.headers().remove(REQUEST_ID);
    } else if (requestId != null && !response.headers().contains(REQUEST_ID)) {
      response.setHeader(REQUEST_ID, requestId);
    }
    return response;
  }

  /**
   * Closes a connection when the caller closes its side, so that the caller's request is cancelled.
   *
   * <p>ServiceTalk keeps a half-closed connection until the response is written, which would hide
   * that the caller has closed the connection.
   */
  private static void closeOnHalfClosure(HttpServiceContext context) {
    if (context instanceof NettyConnectionContext connection) {
      connection.nettyChannel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, false);
    }
  }

  private Single<StreamingHttpResponse> processRequest(
      HttpServiceContext context, HttpRequest request, StreamingHttpResponseFactory responses) {
    long entry = log.recordArrival(request);
    WorkPlan plan = createWorkPlan(request);
    if (plan.responseMode() == ResponseMode.SHED) {
      return Single.succeeded(createShedResponse(entry, responses));
    }
    SlotTable.SlotRequest slotRequest =
        slots.acquire((int) get(BackendParameter.SLOTS), (int) get(BackendParameter.QUEUE_LIMIT));
    return Single.fromStage(slotRequest.granted())
        .flatMap(
            granted ->
                granted
                    ? runWork(context, entry, plan, request, responses)
                    : Single.succeeded(createShedResponse(entry, responses)))
        .beforeFinally(
            new SingleTerminalSignalConsumer<>() {
              @Override
              public void onSuccess(@Nullable StreamingHttpResponse response) {
                slotRequest.release();
              }

              @Override
              public void onError(Throwable failure) {
                cancel();
              }

              @Override
              public void cancel() {
                log.recordEnd(entry, Outcome.CANCELLED);
                slotRequest.release();
              }
            });
  }

  private Single<StreamingHttpResponse> runWork(
      HttpServiceContext context,
      long entry,
      WorkPlan plan,
      HttpRequest request,
      StreamingHttpResponseFactory responses) {
    log.recordStart(entry);
    if (request.requestTarget().contains(CRASH_MARKER)) {
      crash();
      return Single.never();
    }
    if (plan.responseMode() == ResponseMode.HANG) {
      return Single.never();
    }
    CharSequence timeout = request.headers().get("kumquatvane-timeout-millis");
    Duration limit =
        timeout == null ? plan.duration() : Duration.ofMillis(Long.parseLong(timeout.toString()));
    boolean late = plan.duration().compareTo(limit) > 0;
    Duration wait = late ? limit : plan.duration();
    Single<StreamingHttpResponse> response =
        Single.defer(
            () -> {
              log.recordEnd(entry, late ? Outcome.TIMED_OUT : Outcome.ANSWERED);
              return Single.succeeded(
                  late
                      ? createTimeoutResponse(responses)
                      : createResponse(plan.responseMode(), request, responses));
            });
    return wait.isZero()
        ? response
        : context.executionContext().executor().timer(wait).concat(response);
  }

  private StreamingHttpResponse createShedResponse(
      long entry, StreamingHttpResponseFactory responses) {
    log.recordEnd(entry, Outcome.SHED);
    StreamingHttpResponse response = Responses.withText(responses, 503, "no free slot");
    response.setHeader("Kumquatvane-Execution", "not-run");
    return addHeaderIfDraining(response);
  }

  private StreamingHttpResponse createTimeoutResponse(StreamingHttpResponseFactory responses) {
    StreamingHttpResponse response = Responses.withText(responses, 504, "deadline passed");
    response.setHeader("Kumquatvane-Execution", "may-have-run");
    return addHeaderIfDraining(response);
  }

  private StreamingHttpResponse createResponse(
      ResponseMode responseMode, HttpRequest request, StreamingHttpResponseFactory responses) {
    if (responseMode == ResponseMode.ERROR) {
      return addHeaderIfDraining(Responses.withText(responses, 500, "internal error"));
    }
    CharSequence receivedId = request.headers().get(REQUEST_ID);
    String requestId = receivedId == null ? "" : receivedId.toString();
    if (responseMode == ResponseMode.CROSS) {
      requestId = previousRequestId();
    }
    byte[] content = describeRequest(requestId, request);
    String requestedLength = request.queryParameter("answerBytes");
    long length =
        Math.max(
            content.length,
            requestedLength == null
                ? (long) get(BackendParameter.ANSWER_BYTES)
                : Long.parseLong(requestedLength));
    StreamingHttpResponse response =
        addHeaderIfDraining(Responses.withBody(responses, 200, new byte[0]));
    response.setHeader("content-type", "application/json");
    response.setHeader("content-length", Long.toString(length));
    if (receivedId != null) {
      response.setHeader(REQUEST_ID, requestId);
    }
    if (responseMode == ResponseMode.TRUNCATE) {
      return response.payloadBody(
          Publisher.from(Responses.wrap(content, content.length / 2))
              .concat(Publisher.failed(new IOException("body truncated by the gray mode"))));
    }
    rememberRequestId(requestId);
    long padding = length - content.length;
    int chunks = (int) ((padding + CHUNK_BYTES - 1) / CHUNK_BYTES);
    return response.payloadBody(
        Publisher.from(Responses.wrap(content, content.length))
            .concat(
                Publisher.range(0, chunks)
                    .map(
                        chunk ->
                            Responses.wrap(
                                FILLER,
                                (int)
                                    Math.min(CHUNK_BYTES, padding - (long) chunk * CHUNK_BYTES)))));
  }

  private byte[] describeRequest(String requestId, HttpRequest request) {
    return Responses.renderJson(
        json -> {
          json.writeStartObject();
          json.writeStringField("instance", id);
          json.writeStringField("service", service);
          json.writeStringField("requestId", requestId);
          json.writeStringField("method", request.method().name());
          json.writeStringField("path", request.path());
          json.writeNumberField("bodyBytes", request.payloadBody().readableBytes());
          json.writeEndObject();
        });
  }

  private StreamingHttpResponse addHeaderIfDraining(StreamingHttpResponse response) {
    if (isEnabled(BackendParameter.DRAINING)) {
      response.setHeader("Kumquatvane-Draining", "true");
    }
    return response;
  }

  private synchronized String previousRequestId() {
    return previousRequestId;
  }

  private synchronized void rememberRequestId(String requestId) {
    previousRequestId = requestId;
  }

  private synchronized double get(BackendParameter parameter) {
    return parameters.getOrDefault(parameter, parameter.initial());
  }

  private boolean isEnabled(BackendParameter parameter) {
    return get(parameter) != 0;
  }

  /**
   * Plans a request; every random number is drawn for every request, so that the sequence depends
   * on the seed only.
   */
  private synchronized WorkPlan createWorkPlan(HttpRequest request) {
    double gaussian =
        Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
            * Math.cos(2 * Math.PI * random.nextDouble());
    double share = random.nextDouble();
    String fixed = request.queryParameter("workMillis");
    double millis =
        fixed == null
            ? get(BackendParameter.WORK_MILLIS)
                * Math.exp(gaussian * get(BackendParameter.WORK_SPREAD))
            : Double.parseDouble(fixed);
    long age = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    if (age < get(BackendParameter.COLD_START_MILLIS)) {
      millis *= get(BackendParameter.COLD_FACTOR);
    }
    ResponseMode responseMode = ResponseMode.ANSWER;
    if (isGrayModeActive()) {
      millis *= get(BackendParameter.SLOW_FACTOR);
      responseMode = selectResponseMode(share);
    }
    return new WorkPlan(Duration.ofNanos((long) (millis * 1_000_000)), responseMode);
  }

  private boolean isGrayModeActive() {
    double period = get(BackendParameter.FLAP_MILLIS);
    return period == 0 || (long) (System.currentTimeMillis() / period) % 2 == 1;
  }

  private ResponseMode selectResponseMode(double share) {
    double bound = get(BackendParameter.HANG_SHARE);
    if (share < bound) {
      return ResponseMode.HANG;
    }
    bound += get(BackendParameter.TRUNCATE_SHARE);
    if (share < bound) {
      return ResponseMode.TRUNCATE;
    }
    bound += get(BackendParameter.CROSS_SHARE);
    if (share < bound) {
      return ResponseMode.CROSS;
    }
    bound += get(BackendParameter.ERROR_SHARE);
    if (share < bound) {
      return ResponseMode.ERROR;
    }
    bound += get(BackendParameter.SHED_SHARE);
    return share < bound ? ResponseMode.SHED : ResponseMode.ANSWER;
  }
}
