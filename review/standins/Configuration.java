import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Builds the configurations that the operator writes to the store. */
final class Configuration {
  private final int version;
  private final List<String> routes = new ArrayList<>();
  private final List<String> services = new ArrayList<>();
  private final List<String> tenants = new ArrayList<>();

  Configuration(int version) {
    this.version = version;
  }

  Configuration route(
      String name, String prefix, String type, double timeoutSeconds, String service,
      int maxAttempts) {
    routes.add(
        String.format(
            Locale.ROOT,
            "[\"%s\",\"ficu95.example\",\"%s\",\"%s\",%s,%s,1,\"%s\",%d,false,null]",
            name, prefix, type, timeoutSeconds, timeoutSeconds / 2, service, maxAttempts));
    return this;
  }

  Configuration service(String name) {
    services.add("[\"" + name + "\",\"/healthz\",330,\"h1\",false]");
    return this;
  }

  Configuration tenant(String name, double rate, double burst, String... keys) {
    List<String> quoted = new ArrayList<>();
    for (String key : keys) {
      quoted.add("\"" + key + "\"");
    }
    tenants.add(
        String.format(
            Locale.ROOT, "[\"%s\",[%s],null,%s,%s]", name, String.join(",", quoted), rate, burst));
    return this;
  }

  String render() {
    return String.format(
        "{\"version\":\"%08x\",\"routes\":{\"columns\":[\"name\",\"hostname\",\"pathPrefix\","
            + "\"type\",\"timeoutS\",\"targetLatencyS\",\"priority\",\"service\",\"maxAttempts\","
            + "\"public\",\"backends\"],\"rows\":[%s]},\"services\":{\"columns\":[\"name\","
            + "\"healthPath\",\"maxConnections\",\"protocol\",\"tls\"],\"rows\":[%s]},"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"tenants\":{\"columns\":[\"name\","
            + "\"apiKeys\",\"priority\",\"ratePerS\",\"burst\"],\"rows\":[%s]}}",
        version,
        String.join(",", routes),
        String.join(",", services),
        String.join(",", tenants));
  }
}
