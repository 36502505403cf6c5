package org.kumquatvane.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.kumquatvane.standins.internal.HttpListener;

/** Guards against a platform stand-in that deviates from the protocol of design chapter 2.3. */
class PlatformStandInTest {
  private final PlatformStandIn platform = new PlatformStandIn(0);
  private final HttpListener control =
      new HttpListener(0, 10, new ControlService(List.of(platform), List.of()));
  private final HttpClient client = HttpClient.newHttpClient();

  @BeforeEach
  void publish() {
    platform.putValue("document", bytes("one"));
  }

  @AfterEach
  void stop() {
    control.close();
    platform.close();
  }

  @ParameterizedTest
  @CsvSource({
    "/v1/values/document, 200",
    "/v1/values/absent, 404",
    "/v1/vms, 200",
    "/v1/vms?after=1&waitMillis=1, 304",
    "/v1/vms?after=0&waitMillis=60000, 200",
    "/other, 404",
  })
  void respondsWithStatusOfProtocol(String target, int status) throws Exception {
    assertEquals(status, get(0, target).statusCode());
    assertEquals(1, platform.callCount(0));
  }

  @Test
  void watchReturnsWhenValueChanges() throws Exception {
    HttpResponse<String> first = get(0, "/v1/values/document");
    CompletableFuture<HttpResponse<String>> watch =
        client.sendAsync(
            request(
                0,
                "/v1/values/document?waitMillis=60000&after="
                    + first.headers().firstValue("Version").orElseThrow()),
            HttpResponse.BodyHandlers.ofString());
    post("/control/platform/values/document", "two");
    assertEquals("two", watch.join().body());
  }

  @Test
  void viewsReturnDifferentRevisions() throws Exception {
    int other = platform.addView(0);
    platform.putValue("document", bytes("two"));
    platform.setViewFaults(other, Availability.ANSWERING, 0, 1);
    assertEquals("two", get(0, "/v1/values/document").body());
    assertEquals("one", get(other, "/v1/values/document").body());
    platform.putValue(other, "document", bytes("own"));
    assertEquals("own", get(other, "/v1/values/document").body());
  }

  @Test
  void vmListIsDelayed() throws Exception {
    platform.setViewFaults(0, Availability.ANSWERING, 86_400_000, 0);
    platform.putVm(PlatformVm.entry("e1", "127.0.0.1:7001", "a"));
    assertFalse(get(0, "/v1/vms").body().contains("e1"));
    platform.setViewFaults(0, Availability.ANSWERING, 0, 0);
    assertTrue(get(0, "/v1/vms").body().contains("\"id\":\"e1\",\"role\":\"entry\""));
  }

  @ParameterizedTest
  @EnumSource(
      value = Availability.class,
      names = {"REFUSING", "HANGING"})
  void isUnavailableUntilItRespondsAgain(Availability availability) throws Exception {
    platform.setViewFaults(0, availability, 0, 0);
    HttpRequest requestWithTimeout =
        HttpRequest.newBuilder(request(0, "/v1/vms").uri()).timeout(Duration.ofMillis(200)).build();
    assertThrows(
        IOException.class,
        () -> client.send(requestWithTimeout, HttpResponse.BodyHandlers.ofString()));
    platform.setViewFaults(0, Availability.ANSWERING, 0, 0);
    assertEquals(200, get(0, "/v1/vms").statusCode());
  }

  @ParameterizedTest
  @CsvSource({
    "vms/r1?service=rota&address=127.0.0.1:1, live",
    "vms/r1/state?to=leaving, leaving",
    "vms/r1/remove, ''",
  })
  void controlsChangeTheVmList(String change, String state) throws Exception {
    platform.putVm(PlatformVm.backend("r1", "rota", "127.0.0.1:1", "a"));
    post("/control/platform/" + change, "");
    String list = get(0, "/v1/vms").body();
    assertEquals(!state.isEmpty(), list.contains("\"state\":\"" + state + "\""), list);
  }

  private HttpResponse<String> get(int view, String target) throws Exception {
    return client.send(request(view, target), HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest request(int view, String target) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + platform.port(view) + target))
        .build();
  }

  private void post(String target, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + control.port() + target))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    assertEquals(200, client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
