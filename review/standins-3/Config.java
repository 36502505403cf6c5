import java.util.List;
import java.util.stream.Collectors;

/** Configurations of a small deployment, as the operator writes them to the store. */
final class Config {
  private Config() {}

  /**
   * A configuration with the routes of two services.
   *
   * @param version its version
   * @param keys keys of the tenant "huka"
   * @param extraRoutes further rows of the table of routes
   */
  static String of(long version, List<String> keys, String... extraRoutes) {
    return of(version, keys, 0, 0, extraRoutes);
  }

  /** A configuration whose tenant has an allotment; 0 means no limit. */
  static String of(
      long version, List<String> keys, int ratePerS, int burst, String... extraRoutes) {
    String keyList = keys.stream().map(key -> "\"" + key + "\"").collect(Collectors.joining(","));
    StringBuilder rows = new StringBuilder();
    for (String row : extraRoutes) {
      rows.append(",").append(row);
    }
    return ("{\"version\":\"%08x\",\"routes\":{\"columns\":[\"name\",\"hostname\",\"pathPrefix\",\"type\","
            + "\"timeoutS\",\"targetLatencyS\",\"priority\",\"service\",\"maxAttempts\",\"public\",\"backends\"],"
            + "\"rows\":[[\"r-look\",\"rota.example\",\"/look/\",\"safe\",2,0.8,2,\"rota\",2,false,null],"
            + "[\"r-book\",\"rota.example\",\"/book/\",\"unsafe\",2.5,0.8,1,\"rota\",2,false,null],"
            + "[\"r-pay\",\"rota.example\",\"/pay/\",\"unsafe\",2.5,0.4,0,\"ledger\",2,false,null],"
            + "[\"r-read\",\"rota.example\",\"/read/\",\"safe\",2,0.3,1,\"ledger\",2,false,null]%s]},"
            + "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\"],"
            + "\"rows\":[[\"rota\",\"/healthz\",360,\"h1\",false],[\"ledger\",\"/healthz\",360,\"h1\",false]]},"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
            + "\"tenants\":{\"columns\":[\"name\",\"apiKeys\",\"priority\",\"ratePerS\",\"burst\"],"
            + "\"rows\":[[\"huka\",[%s],1,%d,%d]]}}")
        .formatted(version, rows, keyList, ratePerS, burst);
  }
}
