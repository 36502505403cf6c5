package org.kumquatvane.cli.status;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

/** Calls the admin API of a running process. */
public final class AdminClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final String address;
  private final Optional<String> token;

  /**
   * Creates a client.
   *
   * @param address host and port of the admin API
   * @param token bearer token, if the API requires one
   */
  public AdminClient(String address, Optional<String> token) {
    this.address = address;
    this.token = token;
  }

  /**
   * A response of the API.
   *
   * @param status HTTP status
   * @param body body as text
   */
  public record Response(int status, String body) {}

  /**
   * Reads a report.
   *
   * @param path path of the report
   * @return the response
   * @throws IOException if the process cannot be reached
   */
  public Response get(String path) throws IOException {
    return send(request(path).GET().build());
  }

  /**
   * Starts an action.
   *
   * @param path path of the action
   * @return the response
   * @throws IOException if the process cannot be reached
   */
  public Response post(String path) throws IOException {
    return send(request(path).POST(HttpRequest.BodyPublishers.noBody()).build());
  }

  private HttpRequest.Builder request(String path) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
    token.ifPresent(secret -> builder.header("Authorization", "Bearer " + secret));
    return builder;
  }

  private Response send(HttpRequest request) throws IOException {
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return new Response(response.statusCode(), response.body());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }
}
