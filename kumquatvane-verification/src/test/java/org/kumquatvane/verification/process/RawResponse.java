package org.kumquatvane.verification.process;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * A response as read from the connection.
 *
 * @param status status code
 * @param headers header lines
 * @param body bytes of the body
 * @param isComplete whether the body reached its declared end
 */
@SuppressWarnings("ArrayRecordComponent") // Responses are not compared.
public record RawResponse(int status, List<String> headers, byte[] body, boolean isComplete) {
  public String header(String name) {
    String prefix = name.toLowerCase(Locale.ROOT) + ":";
    return headers.stream()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
        .map(line -> line.substring(prefix.length()).trim())
        .findFirst()
        .orElse("");
  }

  String execution() {
    return header("Kumquatvane-Execution");
  }

  String reason() {
    return header("Kumquatvane-Reason");
  }

  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  @Override
  public String toString() {
    return status + " " + headers + " complete=" + isComplete + " " + bodyText().strip();
  }
}
