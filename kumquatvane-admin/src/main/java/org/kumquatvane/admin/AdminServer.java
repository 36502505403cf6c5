package org.kumquatvane.admin;

import static io.servicetalk.concurrent.api.SourceAdapters.fromSource;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpSerializers;
import io.servicetalk.http.api.HttpServerBuilder;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.IoExecutor;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.WorkerPool;
import org.kumquatvane.telemetry.PrometheusText;

/**
 * Admin API of one VM: JSON reports, metrics and a request to drain.
 *
 * <p>It does not change the configuration. Reports are computed on the worker pool.
 */
public final class AdminServer implements AutoCloseable {
  private static final String JSON = "application/json";
  private static final String LIVE = "/v1/live";
  private static final String READY = "/v1/ready";
  private static final String DRAIN = "/v1/drain";
  private static final String METRICS = "/metrics";
  private static final String SCHEME = "Bearer ";

  private final AdminSettings settings;
  private final Map<String, AdminReport> reports;
  private final Readiness readiness;
  private final MetricRegistry metrics;
  private final Runnable drain;
  private final WorkerPool workers;
  private final Optional<IoExecutor> ioExecutor;
  private final JsonFactory json = new JsonFactory();
  private @Nullable HttpServerContext context;

  /**
   * Creates a server; {@link #start} opens the listener.
   *
   * @param settings address and authentication
   * @param routes paths of the reports
   * @param readiness readiness of the VM
   * @param metrics metrics of the VM
   * @param drain starts a planned stop
   * @param workers computes reports
   * @param ioExecutor I/O threads; empty for the default ones of ServiceTalk
   */
  public AdminServer(
      AdminSettings settings,
      List<AdminRoute> routes,
      Readiness readiness,
      MetricRegistry metrics,
      Runnable drain,
      WorkerPool workers,
      Optional<IoExecutor> ioExecutor) {
    this.settings = settings;
    reports =
        routes.stream().collect(Collectors.toUnmodifiableMap(AdminRoute::path, AdminRoute::report));
    this.readiness = readiness;
    this.metrics = metrics;
    this.drain = drain;
    this.workers = workers;
    this.ioExecutor = ioExecutor;
  }

  /**
   * Starts the server.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start() throws IOException {
    InetSocketAddress address =
        new InetSocketAddress(settings.endpoint().host(), settings.endpoint().port());
    try {
      HttpServerBuilder builder =
          HttpServers.forAddress(address).executionStrategy(HttpExecutionStrategies.offloadNone());
      ioExecutor.ifPresent(builder::ioExecutor);
      context = builder.listenAndAwait((unused, request, responses) -> handle(request, responses));
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("cannot listen for operators on " + settings.endpoint(), e);
    }
  }

  private Single<HttpResponse> handle(HttpRequest request, HttpResponseFactory responses) {
    if (!isAuthorized(request)) {
      return Single.succeeded(
          createResponse(
              responses,
              HttpResponseStatus.UNAUTHORIZED,
              JSON,
              "{\"error\":\"send the admin token as Authorization: Bearer <token>\"}\n"));
    }
    SingleSource.Processor<HttpResponse, HttpResponse> responseProcessor =
        Processors.newSingleProcessor();
    boolean accepted =
        workers.offer(
            () -> {
              try {
                responseProcessor.onSuccess(route(request, responses));
              } catch (RuntimeException e) {
                responseProcessor.onError(e);
              }
            });
    return accepted
        ? fromSource(responseProcessor)
        : Single.succeeded(
            createResponse(
                responses,
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                JSON,
                "{\"error\":\"the worker queue is full; try again\"}\n"));
  }

  private boolean isAuthorized(HttpRequest request) {
    if (settings.token().isEmpty()) {
      return true;
    }
    @Nullable CharSequence header = request.headers().get(HttpHeaderNames.AUTHORIZATION);
    byte[] expected = (SCHEME + settings.token().get()).getBytes(StandardCharsets.UTF_8);
    return header != null
        && MessageDigest.isEqual(expected, header.toString().getBytes(StandardCharsets.UTF_8));
  }

  private HttpResponse route(HttpRequest request, HttpResponseFactory responses) {
    String path = request.path();
    boolean isGet = request.method().equals(HttpRequestMethod.GET);
    if (path.equals(DRAIN)) {
      return drain(request, responses);
    }
    if (!isGet) {
      return createResponse(
          responses, HttpResponseStatus.METHOD_NOT_ALLOWED, JSON, "{\"error\":\"use GET\"}\n");
    }
    return switch (path) {
      case LIVE -> createResponse(responses, HttpResponseStatus.OK, JSON, "{\"live\":true}\n");
      case READY -> readinessResponse(responses);
      case METRICS ->
          createResponse(
              responses,
              HttpResponseStatus.OK,
              PrometheusText.CONTENT_TYPE,
              PrometheusText.write(metrics));
      default -> report(path, responses);
    };
  }

  private HttpResponse drain(HttpRequest request, HttpResponseFactory responses) {
    if (!request.method().equals(HttpRequestMethod.POST)) {
      return createResponse(
          responses, HttpResponseStatus.METHOD_NOT_ALLOWED, JSON, "{\"error\":\"use POST\"}\n");
    }
    drain.run();
    return createResponse(responses, HttpResponseStatus.ACCEPTED, JSON, "{\"draining\":true}\n");
  }

  private HttpResponse readinessResponse(HttpResponseFactory responses) {
    List<String> obstacles = readiness.obstacles();
    HttpResponseStatus status =
        obstacles.isEmpty() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    return createResponse(
        responses, status, JSON, write(generator -> writeReadiness(generator, obstacles)));
  }

  private static void writeReadiness(JsonGenerator generator, List<String> obstacles)
      throws IOException {
    generator.writeStartObject();
    generator.writeBooleanField("ready", obstacles.isEmpty());
    generator.writeArrayFieldStart("obstacles");
    for (String obstacle : obstacles) {
      generator.writeString(obstacle);
    }
    generator.writeEndArray();
    generator.writeEndObject();
  }

  private HttpResponse report(String path, HttpResponseFactory responses) {
    @Nullable AdminReport report = reports.get(path);
    return report == null
        ? createResponse(
            responses,
            HttpResponseStatus.NOT_FOUND,
            JSON,
            "{\"error\":\"no such path; docs/api.md lists the paths\"}\n")
        : createResponse(responses, HttpResponseStatus.OK, JSON, write(report));
  }

  private String write(AdminReport report) {
    StringWriter text = new StringWriter();
    try (JsonGenerator generator = json.createGenerator(text)) {
      generator.useDefaultPrettyPrinter();
      report.write(generator);
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
    return text.append('\n').toString();
  }

  private static HttpResponse createResponse(
      HttpResponseFactory responses, HttpResponseStatus status, String type, String body) {
    return responses
        .newResponse(status)
        .payloadBody(body, HttpSerializers.textSerializerUtf8())
        .setHeader(HttpHeaderNames.CONTENT_TYPE, type);
  }

  @Override
  public void close() {
    HttpServerContext running = context;
    if (running != null) {
      running.closeAsync().onErrorComplete().subscribe();
    }
  }
}
