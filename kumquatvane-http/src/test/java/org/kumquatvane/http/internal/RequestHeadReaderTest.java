package org.kumquatvane.http.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.DefaultStreamingHttpRequestResponseFactory;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpRequest;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.Reason;
import org.kumquatvane.engine.CallerRequest;
import org.kumquatvane.engine.PresentedKey;
import org.kumquatvane.http.MessageSizeLimits;
import org.kumquatvane.http.RequestHeadResult;
import org.kumquatvane.testing.SimulatedClock;

class RequestHeadReaderTest {
  private static final String KEY = "kv1_" + "A".repeat(43);
  private static final String AUTHORIZATION = "Bearer " + KEY;

  private final RequestHeadReader reader =
      new RequestHeadReader(new SimulatedClock(), new MessageSizeLimits(1_000, 100, false, 1_000));

  private static StreamingHttpRequest request(String target) {
    return new DefaultStreamingHttpRequestResponseFactory(
            BufferAllocators.DEFAULT_ALLOCATOR,
            DefaultHttpHeadersFactory.INSTANCE,
            HttpProtocolVersion.HTTP_1_1)
        .newRequest(HttpRequestMethod.GET, target);
  }

  private Reason refusal(StreamingHttpRequest request) {
    return assertInstanceOf(RequestHeadResult.Invalid.class, reader.read(request))
        .refusal()
        .reason();
  }

  private CallerRequest valid(StreamingHttpRequest request) {
    return assertInstanceOf(RequestHeadResult.Valid.class, reader.read(request)).request();
  }

  /** Guards against paths that the proxy and a backend server interpret differently. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "http://host/rota",
        "*",
        "/a/../b",
        "/a/./b",
        "/a/..;x/b",
        "/a//b",
        "/a%2fb",
        "/a%2Fb",
        "/a%252fb",
        "/a/%2e%2e/b",
        "/a\\b",
        "/a%5cb",
        "/a%00",
        "/%zz"
      })
  void refusesAmbiguousTargets(String target) {
    assertEquals(Reason.REQUEST_MALFORMED, refusal(request(target)));
  }

  /** Guards against request smuggling by lengths that parsers interpret differently. */
  @ParameterizedTest
  @ValueSource(strings = {"+5", "-1", "0x10", "5, 5", " 5", "", "99999999999999999999"})
  void refusesNonDecimalContentLength(String length) {
    assertEquals(
        Reason.REQUEST_MALFORMED, refusal(request("/rota").addHeader("Content-Length", length)));
  }

  /** Guards against duplicates of fields that must occur once. */
  @ParameterizedTest
  @CsvSource({
    "Content-Length, 5, REQUEST_MALFORMED",
    "Transfer-Encoding, chunked, REQUEST_MALFORMED",
    "Host, a, REQUEST_MALFORMED",
    "Kumquatvane-Timeout-Millis, 5, REQUEST_MALFORMED",
    "Idempotency-Key, a, IDEMPOTENCY_KEY_MALFORMED"
  })
  void refusesDuplicateSingletonFields(String name, String value, Reason reason) {
    StreamingHttpRequest request = request("/rota");
    request.addHeader(name, value).addHeader(name, value);

    assertEquals(reason, refusal(request));
  }

  /** Guards against heads that exceed the size limit. */
  @ParameterizedTest
  @ValueSource(ints = {1_000, 5_000})
  void refusesOversizedHeads(int length) {
    assertEquals(
        Reason.HEAD_TOO_LARGE, refusal(request("/rota").addHeader("X", "a".repeat(length))));
  }

  /** Guards against timeouts that are not positive integers in the allowed range. */
  @ParameterizedTest
  @ValueSource(strings = {"0", "-5", "abc", "1.5", "99999999"})
  void refusesUnusableTimeouts(String timeout) {
    assertEquals(
        Reason.REQUEST_MALFORMED,
        refusal(request("/rota").addHeader("Kumquatvane-Timeout-Millis", timeout)));
  }

  /**
   * Guards against keys outside a single Authorization header, which could reach a backend server.
   */
  @ParameterizedTest
  @CsvSource({
    "/rota?key=KEY, X-Other, none, KEY_MISPLACED",
    "/rota?key=%6bv1_AAAA, X-Other, none, KEY_MISPLACED",
    "/rota/KEY, X-Other, none, KEY_MISPLACED",
    "/rota, X-Other, KEY, KEY_MISPLACED",
    "/rota, cookie, session=KEY, KEY_MISPLACED",
    "/rota, authorization, Bearer KEY, KEY_DUPLICATED",
    "/rota, AUTHORIZATION, Bearer x, KEY_DUPLICATED"
  })
  void rejectsKeysOutsideSingleAuthorizationHeader(
      String target, String name, String value, Reason reason) {
    StreamingHttpRequest request =
        request(target.replace("KEY", KEY))
            .addHeader("Authorization", AUTHORIZATION)
            .addHeader(name, value.replace("KEY", KEY));

    assertEquals(new PresentedKey.Unusable(reason), valid(request).key());
  }

  /** Guards against malformed credentials that are accepted as keys. */
  @ParameterizedTest
  @CsvSource({
    "Basic abc, KEY_MALFORMED",
    "Bearer, KEY_MALFORMED",
    "Bearer kv1_short, KEY_MALFORMED",
    "Bearer kv2_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA, KEY_MALFORMED"
  })
  void refusesMalformedKeys(String authorization, Reason reason) {
    StreamingHttpRequest request = request("/rota").addHeader("Authorization", authorization);

    assertEquals(new PresentedKey.Unusable(reason), valid(request).key());
  }

  /** Guards against losing values of a valid head, and against case-sensitive scheme names. */
  @ParameterizedTest
  @ValueSource(strings = {"Bearer ", "bearer ", "BEARER "})
  void readsValidHeads(String scheme) {
    StreamingHttpRequest request =
        request("/rota/a%20b?x=1")
            .addHeader("Authorization", scheme + KEY)
            .addHeader("Kumquatvane-Timeout-Millis", "250");

    CallerRequest head = valid(request);

    assertInstanceOf(PresentedKey.Present.class, head.key());
    assertEquals("/rota/a b", head.path());
    assertEquals(Duration.ofMillis(250), head.timeout().orElseThrow());
  }
}
