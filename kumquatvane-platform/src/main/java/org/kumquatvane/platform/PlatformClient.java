package org.kumquatvane.platform;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.SocketEndpoint;

/** Client of the platform's configuration service and VM list; only reads. */
public final class PlatformClient implements AutoCloseable {
  /** Largest answer that is read; the platform holds values of up to a megabyte. */
  private static final int MAXIMUM_BYTES = 2 * 1024 * 1024;

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Time beyond the wait after which a call is given up; the platform answers in milliseconds. */
  private static final Duration GRACE = Duration.ofSeconds(2);

  private static final int OK = 200;
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;

  private final HttpClient client;

  /**
   * Creates a client; connections are opened when needed.
   *
   * @param platform address of the platform
   */
  public PlatformClient(SocketEndpoint platform) {
    client =
        HttpClients.forResolvedAddress(new InetSocketAddress(platform.host(), platform.port()))
            .executionStrategy(HttpExecutionStrategies.offloadNone())
            .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MILLIS)
            .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
            .build();
  }

  /**
   * Reads or watches a value.
   *
   * @param name name of the value
   * @param watch how long to wait
   * @param answer receives exactly one answer, on an I/O thread
   */
  public void value(String name, PlatformWatch watch, Consumer<PlatformAnswer> answer) {
    call("/v1/values/" + URLEncoder.encode(name, StandardCharsets.UTF_8), watch, answer);
  }

  /**
   * Reads or watches the VM list.
   *
   * @param watch how long to wait
   * @param answer receives exactly one answer, on an I/O thread
   */
  public void vmList(PlatformWatch watch, Consumer<PlatformAnswer> answer) {
    call("/v1/vms", watch, answer);
  }

  private void call(String path, PlatformWatch watch, Consumer<PlatformAnswer> answer) {
    String target =
        watch.after().isPresent()
            ? path
                + "?after="
                + watch.after().getAsLong()
                + "&waitMillis="
                + watch.longestWait().toMillis()
            : path;
    toSource(client.request(client.get(target)).timeout(watch.longestWait().plus(GRACE)))
        .subscribe(
            new SingleSource.Subscriber<HttpResponse>() {
              @Override
              public void onSubscribe(Cancellable cancellable) {}

              @Override
              public void onSuccess(@Nullable HttpResponse response) {
                answer.accept(
                    response == null
                        ? new PlatformAnswer.Unavailable("no answer")
                        : answerOf(response));
              }

              @Override
              public void onError(Throwable failure) {
                answer.accept(new PlatformAnswer.Unavailable(failure.toString()));
              }
            });
  }

  private static PlatformAnswer answerOf(HttpResponse response) {
    int status = response.status().code();
    if (status == NOT_MODIFIED) {
      return new PlatformAnswer.Unchanged();
    }
    if (status == NOT_FOUND) {
      return new PlatformAnswer.Absent();
    }
    if (status != OK) {
      return new PlatformAnswer.Unavailable("status " + status);
    }
    int length = response.payloadBody().readableBytes();
    if (length > MAXIMUM_BYTES) {
      return new PlatformAnswer.Unavailable("answer of " + length + " bytes is too long");
    }
    byte[] bytes = new byte[length];
    response.payloadBody().readBytes(bytes);
    @Nullable CharSequence version = response.headers().get("Version");
    try {
      return new PlatformAnswer.Current(
          new PlatformValue(version == null ? 0 : Long.parseLong(version.toString()), bytes));
    } catch (NumberFormatException e) {
      return new PlatformAnswer.Unavailable("the header Version is not a number");
    }
  }

  @Override
  public void close() {
    client.closeAsync().onErrorComplete().subscribe();
  }
}
