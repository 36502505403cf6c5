package org.kumquatvane.cli.status;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.kumquatvane.json.FaultCollector;
import org.kumquatvane.json.JsonLimits;
import org.kumquatvane.json.JsonReader;
import org.kumquatvane.json.Located;
import org.kumquatvane.json.ObjectReader;
import org.kumquatvane.json.StringFormat;

/** Formats the reports of the admin API as text, with the most urgent facts first. */
final class StatusText {
  private static final StringFormat TEXT =
      StringFormat.of("(?s).{0,200}", "of at most 200 characters");
  private static final String ELIGIBLE = "eligible";

  private StatusText() {}

  /**
   * Formats the state of a process.
   *
   * @param ready response of /v1/ready
   * @param configuration response of /v1/configuration
   * @param instances response of /v1/instances
   * @param peers response of /v1/peers
   * @param work response of /v1/work
   * @return lines of text
   */
  static String format(
      String ready, String configuration, String instances, String peers, String work) {
    StringBuilder text = new StringBuilder();
    writeReady(text, read(ready));
    writeConfiguration(text, read(configuration));
    writePeers(text, read(peers));
    writeWork(text, read(work));
    writeInstances(text, read(instances));
    return text.toString();
  }

  private static ObjectReader read(String json) {
    FaultCollector faults = new FaultCollector();
    return new JsonReader(JsonLimits.STANDARD)
        .read("answer", json.getBytes(StandardCharsets.UTF_8), faults)
        .map(root -> ObjectReader.forRoot("answer", root, faults))
        .orElseThrow(() -> new IllegalStateException("the process returned invalid JSON: " + json));
  }

  private static void writeReady(StringBuilder text, ObjectReader ready) {
    List<String> obstacles =
        ready.readStrings("obstacles", TEXT).stream().map(Located::value).toList();
    text.append(obstacles.isEmpty() ? "READY" : "NOT READY: " + String.join(", ", obstacles));
    text.append('\n');
  }

  private static void writeConfiguration(StringBuilder text, ObjectReader configuration) {
    if (!configuration.readBoolean("inForce", false)) {
      text.append("configuration  none in force\n");
      return;
    }
    text.append("configuration  generation ")
        .append(configuration.readLong("generation", 0, Long.MAX_VALUE))
        .append(" digest ")
        .append(configuration.readString("digest", StringFormat.SHA256), 0, 12)
        .append('\n');
  }

  private static void writePeers(StringBuilder text, ObjectReader peers) {
    String self = peers.readString("self", TEXT);
    boolean viewAgreed = peers.readBoolean("viewAgreed", false);
    List<String> outsideView = new ArrayList<>();
    int[] count = {0};
    peers.readObjects(
        "vms",
        vm -> {
          count[0]++;
          String name = vm.readString("vm", TEXT);
          vm.readString("address", TEXT);
          vm.readString("failureDomain", TEXT);
          vm.readString("state", TEXT);
          if (!vm.readBoolean("inView", false)) {
            outsideView.add(name);
          }
          return name;
        });
    text.append("fleet          ")
        .append(count[0])
        .append(" VMs listed, this one is ")
        .append(self)
        .append(viewAgreed ? ", view agreed" : ", NO AGREED VIEW");
    if (viewAgreed && !outsideView.isEmpty()) {
      text.append(", outside the view: ").append(String.join(" ", outsideView));
    }
    text.append('\n');
  }

  private static void writeWork(StringBuilder text, ObjectReader work) {
    text.append("work           ")
        .append(work.readLong("requestsInFlight", 0, Integer.MAX_VALUE))
        .append(" requests in flight, ")
        .append(work.readLong("queuedTasks", 0, Integer.MAX_VALUE))
        .append(" tasks queued\n");
  }

  private static void writeInstances(StringBuilder text, ObjectReader instances) {
    Map<String, Integer> eligibleCounts = new TreeMap<>();
    Map<String, List<String>> unavailableByService = new TreeMap<>();
    instances.readObjects(
        "instances",
        instance -> {
          String service = instance.readString("service", TEXT);
          String name = instance.readString("instance", TEXT);
          String state = instance.readString("state", TEXT);
          eligibleCounts.merge(service, state.equals(ELIGIBLE) ? 1 : 0, Integer::sum);
          if (!state.equals(ELIGIBLE)) {
            unavailableByService
                .computeIfAbsent(service, unused -> new ArrayList<>())
                .add(name + " " + state);
          }
          return name;
        });
    eligibleCounts.forEach(
        (service, number) -> {
          List<String> unavailable = unavailableByService.getOrDefault(service, List.of());
          text.append(String.format("%-14s %d in", service, number));
          if (!unavailable.isEmpty()) {
            text.append(", ")
                .append(unavailable.size())
                .append(" out: ")
                .append(String.join(", ", unavailable));
          }
          text.append('\n');
        });
  }
}
