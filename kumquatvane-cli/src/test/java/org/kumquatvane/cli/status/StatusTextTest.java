package org.kumquatvane.cli.status;

import org.approvaltests.Approvals;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StatusTextTest {
  private static final String WORK = "{\"requestsInFlight\":12,\"queuedTasks\":0}";

  private static String instance(String name, String state) {
    return "{\"service\":\"rota\",\"instance\":\"" + name + "\",\"state\":\"" + state + "\"}";
  }

  private static String vm(String name, boolean inView) {
    return "{\"vm\":\""
        + name
        + "\",\"address\":\"127.0.0.1:7001\",\"failureDomain\":\"a\",\"state\":\"live\","
        + "\"inView\":"
        + inView
        + "}";
  }

  /** Guards against a status text that hides faults from the operator. */
  @ParameterizedTest
  @CsvSource({"healthy, true", "troubled, false"})
  void showsTheMostUrgentFactsFirst(String subject, boolean healthy) {
    String state = healthy ? "eligible" : "ejected";
    String text =
        StatusText.format(
            healthy
                ? "{\"ready\":true,\"obstacles\":[]}"
                : "{\"ready\":false,\"obstacles\":[\"no_configuration\",\"shares_unsettled\"]}",
            healthy
                ? "{\"inForce\":true,\"generation\":7,\"digest\":\"" + "ab".repeat(32) + "\"}"
                : "{\"inForce\":false}",
            "{\"instances\":["
                + instance("rota-1", "eligible")
                + ","
                + instance("rota-2", state)
                + "]}",
            "{\"self\":\"e1\",\"viewAgreed\":"
                + healthy
                + ",\"vms\":["
                + vm("e1", healthy)
                + ","
                + vm("e2", false)
                + "]}",
            WORK);

    Approvals.verify(text, Approvals.NAMES.withParameters(subject));
  }
}
