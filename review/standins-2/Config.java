/** Builds configurations of a small deployment with two services. */
final class Config {
  static final String SITE_HOST = "site.example";
  static final String KEY = "key-of-tenant-a";

  private Config() {}

  /** One tenant without a limit, a safe and an unsafe route to each of two services. */
  static String standard(int version) {
    return standard(version, "\"" + KEY + "\"");
  }

  static String standard(int version, String keys) {
    return String.format(
        "{\"version\":\"%08x\",\"routes\":{\"columns\":[\"name\",\"hostname\",\"pathPrefix\",\"type\","
            + "\"timeoutS\",\"targetLatencyS\",\"priority\",\"service\",\"maxAttempts\",\"public\","
            + "\"backends\"],\"rows\":["
            + "[\"look\",\"site.example\",\"/look/\",\"safe\",2,0.8,2,\"rota\",2,false,null],"
            + "[\"book\",\"site.example\",\"/book/\",\"unsafe\",2.5,0.8,1,\"rota\",2,false,null],"
            + "[\"read\",\"site.example\",\"/read/\",\"safe\",2,0.3,1,\"ledger\",2,false,null],"
            + "[\"settle\",\"site.example\",\"/settle/\",\"unsafe\",2.5,0.4,0,\"ledger\",2,false,null]]},"
            + "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\"],"
            + "\"rows\":[[\"rota\",\"/healthz\",360,\"h1\",false],"
            + "[\"ledger\",\"/healthz\",360,\"h1\",false]]},"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,"
            + "\"idleTimeoutS\":15},\"tenants\":{\"columns\":[\"name\",\"apiKeys\",\"priority\","
            + "\"ratePerS\",\"burst\"],\"rows\":[[\"tenant-a\",[%s],1,0,0]]}}",
        version, keys);
  }
}
