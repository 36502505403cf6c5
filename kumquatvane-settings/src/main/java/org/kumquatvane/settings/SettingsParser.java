package org.kumquatvane.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.json.FaultCollector;
import org.kumquatvane.json.JsonLimits;
import org.kumquatvane.json.JsonReader;
import org.kumquatvane.json.JsonValue;
import org.kumquatvane.json.ObjectReader;
import org.kumquatvane.json.StringFormat;
import org.kumquatvane.settings.internal.EndpointReader;

/** Parses the settings of one VM. docs/configuration.md gives the reason for each default. */
public final class SettingsParser {
  private static final SocketEndpoint DEFAULT_ADMIN = new SocketEndpoint("127.0.0.1", 9090);
  private static final int DEFAULT_THREADS = 4;
  private static final int DEFAULT_QUEUE_CAPACITY = 4_096;
  private static final int DEFAULT_IN_FLIGHT = 2_000;
  private static final int DEFAULT_BUFFERED_BODY_BYTES = 65_536;
  private static final long DEFAULT_BUFFERED_BYTES = 64L << 20;
  private static final int DEFAULT_HEAD_BYTES = 16_384;
  private static final long DEFAULT_DRAIN_NOTICE_MILLIS = 5_000;
  private static final long DEFAULT_DRAIN_DEADLINE_MILLIS = 30_000;
  private static final long DEFAULT_PEER_WAIT_MILLIS = 5_000;
  private static final long DEFAULT_HEARTBEAT_INTERVAL_MILLIS = 1_000;
  private static final long DEFAULT_PROMISE_MILLIS = 4_000;
  private static final long DEFAULT_FLOOR_LEASE_MILLIS = 600_000;
  private static final long DEFAULT_CLOCK_SKEW_MILLIS = 10_000;
  private static final long DEFAULT_OPERATION_RETENTION_MILLIS = 900_000;
  private static final long MINUTE_MILLIS = 60_000;
  private static final long DAY_MILLIS = 86_400_000;
  private static final String DRAIN_DEADLINE = "drainDeadlineMillis";
  private static final String PROMISE = "promiseMillis";
  private static final String FLOOR_LEASE = "floorLeaseMillis";
  private static final String OPERATION_RETENTION = "operationRetentionMillis";

  private static final StringFormat FILE =
      StringFormat.of("[^\\p{Cntrl}]{1,4096}", "that is the path of a file");
  private static final StringFormat SECRET =
      StringFormat.ofSecret("[!-~]{16,1024}", "of 16 to 1024 printable characters without spaces");

  private final JsonReader reader = new JsonReader(JsonLimits.STANDARD);

  /**
   * Parses settings.
   *
   * @param source name of the file, used in messages
   * @param bytes the input
   * @return the settings, or all faults found in them
   */
  public SettingsResult<Settings> parse(String source, byte[] bytes) {
    FaultCollector faults = new FaultCollector();
    Optional<JsonValue> root = reader.read(source, bytes, faults);
    if (root.isEmpty()) {
      return new SettingsResult.Invalid<>(faults.faults());
    }
    ObjectReader main = ObjectReader.forRoot(source, root.get(), faults);
    Settings settings = readSettings(main);
    main.reportUnknownFields();
    return faults.isEmpty()
        ? new SettingsResult.Parsed<>(settings)
        : new SettingsResult.Invalid<>(faults.faults());
  }

  private static Settings readSettings(ObjectReader main) {
    return new Settings(
        new VmId(main.readString("vmId", StringFormat.NAME)),
        new FailureDomain(main.readString("failureDomain", StringFormat.NAME)),
        main.readRequiredObject("callerListener")
            .map(SettingsParser::readCallerListener)
            .orElse(new CallerListener(DEFAULT_ADMIN, CallerProtocol.HTTP1, Optional.empty())),
        readAdminListener(main.readObject("adminListener")),
        main.readRequiredObject("peerListener")
            .map(SettingsParser::readEndpoint)
            .orElse(DEFAULT_ADMIN),
        readFleetSecret(main),
        main.readRequiredObject("platform")
            .map(SettingsParser::readPlatform)
            .orElse(new PlatformSettings(DEFAULT_ADMIN, "")),
        readWorkers(main.readObject("workers")),
        readRequests(main),
        readStop(main),
        readFleet(main),
        main.readBoolean("assertions", true));
  }

  private static CallerListener readCallerListener(ObjectReader listener) {
    SocketEndpoint endpoint = EndpointReader.read(listener);
    CallerProtocol protocol = listener.readEnum("protocol", CallerProtocol.HTTP1);
    Optional<TlsFiles> tls =
        listener.has("tls")
            ? listener.readRequiredObject("tls").map(SettingsParser::readTls)
            : Optional.empty();
    listener.reportUnknownFields();
    return new CallerListener(endpoint, protocol, tls);
  }

  private static TlsFiles readTls(ObjectReader tls) {
    TlsFiles files =
        new TlsFiles(
            Path.of(tls.readString("certificateFile", FILE)),
            Path.of(tls.readString("keyFile", FILE)));
    tls.reportUnknownFields();
    return files;
  }

  private static AdminListener readAdminListener(ObjectReader listener) {
    SocketEndpoint endpoint = EndpointReader.read(listener, DEFAULT_ADMIN);
    Optional<Secret> token = readSecret(listener, "token", "tokenFile");
    if (token.isEmpty()
        && !listener.has("token")
        && !listener.has("tokenFile")
        && !EndpointReader.isLoopback(endpoint)) {
      listener.reportFault(
          "tokenFile",
          "other machines can reach the admin API without a token",
          "add tokenFile or token, or use a loopback address");
    }
    listener.reportUnknownFields();
    return new AdminListener(endpoint, token);
  }

  private static SocketEndpoint readEndpoint(ObjectReader listener) {
    SocketEndpoint endpoint = EndpointReader.read(listener);
    listener.reportUnknownFields();
    return endpoint;
  }

  private static Secret readFleetSecret(ObjectReader main) {
    Optional<Secret> secret = readSecret(main, "fleetSecret", "fleetSecretFile");
    if (!main.has("fleetSecret") && !main.has("fleetSecretFile")) {
      main.reportFault(
          "fleetSecretFile", "the field is missing", "add fleetSecretFile or fleetSecret");
    }
    return secret.orElse(new Secret.Text(""));
  }

  private static Optional<Secret> readSecret(
      ObjectReader object, String textName, String fileName) {
    Optional<Secret> text = object.readOptionalString(textName, SECRET).map(Secret.Text::new);
    Optional<Secret> file =
        object.readOptionalString(fileName, FILE).map(path -> new Secret.InFile(Path.of(path)));
    if (text.isPresent() && file.isPresent()) {
      object.reportFault(textName, "there is also " + fileName, "keep one of the two");
    }
    return text.or(() -> file);
  }

  private static PlatformSettings readPlatform(ObjectReader platform) {
    PlatformSettings source =
        new PlatformSettings(
            EndpointReader.readHostAndPort(platform, "address"),
            platform.readString("documentName", StringFormat.NAME));
    platform.reportUnknownFields();
    return source;
  }

  private static WorkerPoolSettings readWorkers(ObjectReader workers) {
    WorkerPoolSettings bounds =
        new WorkerPoolSettings(
            (int) workers.readLong("threads", 1, 256, DEFAULT_THREADS),
            (int) workers.readLong("queueCapacity", 1, 1_000_000, DEFAULT_QUEUE_CAPACITY));
    workers.reportUnknownFields();
    return bounds;
  }

  private static RequestLimits readRequests(ObjectReader main) {
    int inFlight = (int) main.readLong("maximumInFlight", 1, 1_000_000, DEFAULT_IN_FLIGHT);
    int body = (int) main.readLong("bufferedBodyBytes", 0, 16L << 20, DEFAULT_BUFFERED_BODY_BYTES);
    long total = main.readLong("maximumBufferedBytes", 0, 1L << 40, DEFAULT_BUFFERED_BYTES);
    if (total < body) {
      main.reportFault(
          "maximumBufferedBytes",
          "it is below bufferedBodyBytes, so one body may not fit",
          "raise it to at least bufferedBodyBytes");
    }
    int head = (int) main.readLong("maximumHeadBytes", 1_024, 1 << 20, DEFAULT_HEAD_BYTES);
    return new RequestLimits(inFlight, body, total, head);
  }

  private static DrainSettings readStop(ObjectReader main) {
    long notice =
        main.readLong("drainNoticeMillis", 0, 10 * MINUTE_MILLIS, DEFAULT_DRAIN_NOTICE_MILLIS);
    long deadline =
        main.readLong(DRAIN_DEADLINE, 1, 60 * MINUTE_MILLIS, DEFAULT_DRAIN_DEADLINE_MILLIS);
    if (deadline <= notice) {
      main.reportFault(
          DRAIN_DEADLINE,
          "it is not above drainNoticeMillis, so requests get no time to complete",
          "raise it above drainNoticeMillis");
    }
    return new DrainSettings(Duration.ofMillis(notice), Duration.ofMillis(deadline));
  }

  private static FleetTimings readFleet(ObjectReader main) {
    long heartbeat =
        main.readLong(
            "heartbeatIntervalMillis", 10, MINUTE_MILLIS, DEFAULT_HEARTBEAT_INTERVAL_MILLIS);
    long promise = main.readLong(PROMISE, 20, 10 * MINUTE_MILLIS, DEFAULT_PROMISE_MILLIS);
    if (promise < 2 * heartbeat) {
      main.reportFault(
          PROMISE,
          "it is below two heartbeat intervals, so one lost heartbeat ends the view",
          "raise it to at least twice heartbeatIntervalMillis");
    }
    long floorLease = main.readLong(FLOOR_LEASE, 20, DAY_MILLIS, DEFAULT_FLOOR_LEASE_MILLIS);
    if (floorLease < promise) {
      main.reportFault(
          FLOOR_LEASE, "it is below promiseMillis", "raise it to at least promiseMillis");
    }
    long skew = main.readLong("clockSkewMillis", 0, 10 * MINUTE_MILLIS, DEFAULT_CLOCK_SKEW_MILLIS);
    long retention =
        main.readLong(OPERATION_RETENTION, 1_000, DAY_MILLIS, DEFAULT_OPERATION_RETENTION_MILLIS);
    if (retention <= skew) {
      main.reportFault(
          OPERATION_RETENTION,
          "it is not above clockSkewMillis, so a record may expire while its key is still accepted",
          "raise it above clockSkewMillis");
    }
    return new FleetTimings(
        Duration.ofMillis(
            main.readLong("peerWaitMillis", 0, 10 * MINUTE_MILLIS, DEFAULT_PEER_WAIT_MILLIS)),
        Duration.ofMillis(heartbeat),
        Duration.ofMillis(promise),
        Duration.ofMillis(floorLease),
        Duration.ofMillis(skew),
        Duration.ofMillis(retention));
  }
}
