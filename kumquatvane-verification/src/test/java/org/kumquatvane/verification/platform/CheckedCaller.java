package org.kumquatvane.verification.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.kumquatvane.verification.process.CallerConnection;
import org.kumquatvane.verification.process.RawResponse;

/**
 * A caller with one kept connection at a time that compares each response with what a {@link
 * SigningInstance} sends for the request. Confined to one thread.
 */
final class CheckedCaller implements AutoCloseable {
  /** Status of a request whose caller has left. */
  static final int LEFT = -1;

  private static final int READ_TIMEOUT_MILLIS = 30_000;
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECTION = 300;
  private static final int REFUSED = 503;

  private final int port;
  private final List<String> faults = new ArrayList<>();
  private final List<String> sentIds = new ArrayList<>();
  private final List<String> refusedIds = new ArrayList<>();
  private final List<Integer> statuses = new ArrayList<>();
  private Optional<CallerConnection> connection = Optional.empty();

  CheckedCaller(int port) {
    this.port = port;
  }

  /** Returns what was wrong with the responses. */
  List<String> faults() {
    return faults;
  }

  List<String> sentIds() {
    return sentIds;
  }

  /** Returns the IDs of the requests that, by their status, have not run and never will. */
  List<String> refusedIds() {
    return refusedIds;
  }

  /** Returns the statuses of all responses; 0 for a connection that ended without one. */
  List<Integer> statuses() {
    return statuses;
  }

  private CallerConnection connect() throws IOException {
    CallerConnection current =
        connection.isPresent() ? connection.get() : new CallerConnection(port, READ_TIMEOUT_MILLIS);
    connection = Optional.of(current);
    return current;
  }

  /** Sends a request without reading its response; returns its ID. */
  String send(String method, String target, int deadlineMillis, int bodyLength) throws IOException {
    String id = UUID.randomUUID().toString();
    sentIds.add(id);
    connect().write(request(id, method, target, deadlineMillis, bodyLength));
    return id;
  }

  /** Sends a request without the last bytes of its body; returns its ID. */
  String sendWithoutEnd(
      String method, String target, int deadlineMillis, int bodyLength, int missingLength)
      throws IOException {
    String id = UUID.randomUUID().toString();
    sentIds.add(id);
    String request = request(id, method, target, deadlineMillis, bodyLength);
    connect().write(request.substring(0, request.length() - missingLength));
    return id;
  }

  static String request(
      String id, String method, String target, int deadlineMillis, int bodyLength) {
    return method
        + " "
        + target
        + (target.contains("?") ? "&" : "?")
        + "sends="
        + bodyLength
        + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: "
        + id
        + "\r\nX-Deadline-Ms: "
        + deadlineMillis
        + "\r\nAuthorization: Token "
        + PlatformFleet.KEY
        + (bodyLength > 0 ? "\r\nContent-Length: " + bodyLength : "")
        + "\r\n\r\n"
        + SigningInstance.requestBody(id, bodyLength);
  }

  /** Reads the response to the request with an ID and checks it. */
  RawResponse receive(String id) throws IOException {
    RawResponse response;
    try {
      response = connect().readResponse();
    } catch (IOException ended) {
      statuses.add(0);
      disconnect();
      throw ended;
    }
    statuses.add(response.status());
    check(id, response);
    if (!response.isComplete() || response.header("Connection").equalsIgnoreCase("close")) {
      disconnect();
    }
    return response;
  }

  private void check(String id, RawResponse response) throws IOException {
    int status = response.status();
    String signature = response.header("X-Response-Signature");
    if (!response.header("X-Request-Id").equals(id)) {
      faults.add(id + " got " + response);
    } else if (!signature.isEmpty()) {
      checkSigned(id, response, signature);
    } else if (status >= FIRST_SUCCESS && status < FIRST_REDIRECTION) {
      faults.add(id + " got an unsigned success " + response);
    } else if (status == REFUSED) {
      refusedIds.add(id);
    }
    if (response.isComplete() && connect().availableBytes() > 0) {
      faults.add(id + " got more than its response: " + connect().readResponse());
    }
  }

  private void checkSigned(String id, RawResponse response, String signature) {
    String lengthText = signature.substring(signature.lastIndexOf('.') + 1);
    int length = lengthText.matches("\\d{1,8}") ? Integer.parseInt(lengthText) : 0;
    boolean isWhole =
        signature.equals(SigningInstance.signature(id, response.status(), length))
            && response
                .bodyText()
                .equals(SigningInstance.responseBody(id, response.status(), length));
    if (response.isComplete() && !isWhole) {
      faults.add(id + " got, as if it were whole, " + response);
    }
  }

  /** Leaves without reading a response. */
  void leave() throws IOException {
    statuses.add(LEFT);
    reset();
  }

  /** Resets the connection; the next request opens one. */
  void reset() throws IOException {
    if (connection.isPresent()) {
      connection.get().reset();
      connection = Optional.empty();
    }
  }

  private void disconnect() throws IOException {
    if (connection.isPresent()) {
      connection.get().close();
      connection = Optional.empty();
    }
  }

  /** Waits for bytes that no request asked for on the kept connection. */
  void checkSilence(long millis) throws IOException, InterruptedException {
    if (connection.isPresent()) {
      Thread.sleep(millis);
      if (connection.get().availableBytes() > 0) {
        faults.add("unsolicited " + connection.get().readResponse());
      }
    }
  }

  @Override
  public void close() throws IOException {
    disconnect();
  }
}
