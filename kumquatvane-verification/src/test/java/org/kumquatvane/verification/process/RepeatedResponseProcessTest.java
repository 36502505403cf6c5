package org.kumquatvane.verification.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.standins.BackendParameter;
import org.kumquatvane.standins.PlatformVm;

/**
 * Guards against a second copy of a response that is taken for the response to the next request on
 * its connection: a booking would run twice, or a caller would receive another caller's response.
 */
class RepeatedResponseProcessTest {
  private static final int REQUESTS = 20;
  private static final int REQUESTS_PER_NAME = 5;
  private static final int SERVERS = 2;
  private static final Fleet FLEET = new Fleet(1, SERVERS);
  private static final List<FaultProxy> PROXIES = new ArrayList<>();

  private static int listings;

  @BeforeAll
  static void start() throws IOException {
    FLEET.start().awaitBooking(FLEET.vm(0));
    for (int i = 0; i < SERVERS; i++) {
      FLEET.platform().removeVm(FLEET.backend(i).id());
      PROXIES.add(new FaultProxy(FLEET.backend(i).port()));
      PROXIES.get(i).repeatResponses();
    }
  }

  @AfterAll
  static void stop() throws IOException {
    FLEET.close();
    for (FaultProxy proxy : PROXIES) {
      proxy.close();
    }
  }

  /** Every third request is refused; each request has an operation key as its target's query. */
  @ParameterizedTest
  @CsvSource({
    "GET, 1, false, 0",
    "GET, 2, true, 0",
    "POST, 1, false, 0",
    "POST, 2, false, 0",
    "POST, 1, true, 0",
    "GET, 2, false, 1",
    "POST, 1, false, 1",
    "POST, 2, true, 1"
  })
  void copyOfResponseDoesNotAnswerTheNextRequest(
      String method, int servers, boolean isRenamed, int echoes) throws Exception {
    Map<String, RawResponse> responses = new LinkedHashMap<>();
    try (CallerConnection caller = new CallerConnection(FLEET.vm(0).callerPort())) {
      for (int i = 0; i < REQUESTS; i++) {
        if (i == 0 || (isRenamed && i % REQUESTS_PER_NAME == 0)) {
          listUnderNewNames(servers);
        }
        for (int server = 0; server < SERVERS; server++) {
          FLEET.backend(server).set(BackendParameter.ECHO_REQUEST_ID, echoes);
          FLEET.backend(server).set(BackendParameter.SHED_SHARE, i % 3 == 0 ? 1 : 0);
        }
        String operation = TestKeys.newOperationKey();
        String target = "/rota/bookings?" + operation;
        responses.put(
            target,
            method.equals("GET")
                ? caller.get(target, FLEET.key("alpha"))
                : caller.post(target, FLEET.key("alpha"), operation, "{}"));
      }
    }
    List<String> violations = new ArrayList<>();
    responses.forEach(
        (target, response) -> {
          long runs = FLEET.countStarted(target);
          String id = response.header("Kumquatvane-Request-Id");
          if ((method.equals("POST") && runs > 1)
              || (response.execution().equals("not-run") && runs > 0)
              || !response.bodyText().contains(id)) {
            violations.add("runs=" + runs + " " + response);
          }
        });
    assertEquals(List.of(), violations, FLEET.vm(0)::log);
    assertTrue(responses.values().stream().anyMatch(response -> response.status() == 200));
  }

  private static void listUnderNewNames(int servers) {
    listings++;
    for (int i = 0; i < SERVERS; i++) {
      FLEET.platform().removeVm("rota-" + (listings - 1) + "-" + i);
      if (i < servers) {
        String address = "127.0.0.1:" + PROXIES.get(i).port();
        FLEET
            .platform()
            .putVm(PlatformVm.backend("rota-" + listings + "-" + i, "rota", address, "a"));
      }
    }
    Conditions.await(
        "the names are known",
        () -> {
          String instances = FLEET.vm(0).getFromAdmin("/v1/instances").body();
          return instances.split("\"rota-" + listings + "-", -1).length == servers + 1
              && instances.split("\"rota-", -1).length == servers + 1;
        },
        FLEET.vm(0)::log);
  }
}
