package org.kumquatvane.server;

import java.io.IOException;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.kumquatvane.admin.AdminRoute;
import org.kumquatvane.admin.AdminServer;
import org.kumquatvane.admin.AdminSettings;
import org.kumquatvane.admin.ConfigurationReport;
import org.kumquatvane.admin.InstancesReport;
import org.kumquatvane.admin.PeersReport;
import org.kumquatvane.admin.WorkReport;
import org.kumquatvane.admin.WorkspacesReport;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.distribution.ConfigurationDistributor;
import org.kumquatvane.distribution.DistributionSettings;
import org.kumquatvane.distribution.LocalConfigurationVersions;
import org.kumquatvane.document.ConfigurationTable;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.http.BackendConnectionPool;
import org.kumquatvane.http.BackendConnectionSettings;
import org.kumquatvane.http.CallerProtocol;
import org.kumquatvane.http.CallerServer;
import org.kumquatvane.http.CallerServerDependencies;
import org.kumquatvane.http.CallerServerSettings;
import org.kumquatvane.http.ExtraBytesLog;
import org.kumquatvane.http.KumquatvaneDialect;
import org.kumquatvane.http.MessageSizeLimits;
import org.kumquatvane.http.TlsFiles;
import org.kumquatvane.membership.VmListListener;
import org.kumquatvane.platform.standin.PlatformClient;
import org.kumquatvane.server.internal.DecisionComponents;
import org.kumquatvane.server.internal.FleetComponents;
import org.kumquatvane.server.internal.FleetReadiness;
import org.kumquatvane.server.internal.InstanceListUpdater;
import org.kumquatvane.server.internal.JsonDocumentDecoder;
import org.kumquatvane.server.internal.ProcessRuntime;
import org.kumquatvane.server.internal.ReadinessState;
import org.kumquatvane.server.internal.SecretReader;
import org.kumquatvane.settings.Secret;
import org.kumquatvane.settings.Settings;

/** Server of one proxy VM. */
public final class ProxyServer {
  /** Time for which the departure announcement is repeated, in case a message is lost. */
  private static final Duration DEPARTURE_NOTICE_TIME = Duration.ofMillis(1_500);

  /** Time between the last answer of a stopping VM and the close of its connections. */
  private static final Duration ANSWER_TIME = Duration.ofMillis(100);

  private final Settings settings;
  private final ProcessRuntime runtime;
  private final AtomicBoolean draining = new AtomicBoolean();
  private final CallerServer callers;
  private final AdminServer admin;
  private final BackendConnectionPool connections;
  private final PlatformClient platform;
  private final FleetComponents fleet;
  private final DecisionComponents decisions;
  private final ConfigurationTable configuration;
  private final ConfigurationDistributor distributor;

  private ProxyServer(Settings settings, EventLog eventLog, Runnable onDrainRequest)
      throws IOException, GeneralSecurityException {
    this.settings = settings;
    runtime = new ProcessRuntime(settings, eventLog);
    LocalConfigurationVersions localVersions = new LocalConfigurationVersions();
    fleet = new FleetComponents(settings, runtime, localVersions);
    decisions = new DecisionComponents(settings, runtime, fleet);
    List<DocumentListener> listeners = new ArrayList<>(decisions.documentListeners());
    listeners.add(fleet);
    configuration = new ConfigurationTable(listeners, runtime.monitor());
    connections =
        new BackendConnectionPool(
            runtime.clock(),
            BackendConnectionSettings.STANDARD,
            null,
            new ExtraBytesLog(eventLog, runtime.counters()));
    platform = new PlatformClient(settings.platform().endpoint());
    AtomicBoolean hasVmList = new AtomicBoolean();
    List<VmListListener> listListeners =
        List.of(
            fleet,
            decisions.health(),
            new InstanceListUpdater(decisions.instances(), connections, decisions.engine()),
            list -> hasVmList.set(true));
    distributor =
        new ConfigurationDistributor(
            DistributionSettings.of(
                settings.platform().documentName(), settings.fleetTimings().peerWait()),
            fleet.membership(),
            configuration,
            decisions.keys(),
            new JsonDocumentDecoder(settings.platform().documentName()),
            platform,
            listListeners,
            localVersions,
            fleet.network(),
            runtime.clock(),
            runtime.scheduler(),
            runtime.counters(),
            runtime.eventLog());
    distributor.registerHandlers(fleet.dispatcher());
    fleet.membership().addListener(distributor);
    ReadinessState readiness = new ReadinessState();
    readiness.require("no_configuration", () -> configuration.current().isPresent());
    readiness.require("no_vm_list", hasVmList::get);
    FleetReadiness fleetReadiness =
        new FleetReadiness(runtime.clock(), settings.fleetTimings().clockSkew());
    fleet.membership().addListener(fleetReadiness);
    readiness.require("shares_unsettled", fleetReadiness::sharesSettled);
    readiness.require("operations_unsettled", fleetReadiness::operationsSettled);
    readiness.require("draining", () -> !draining.get());
    admin = createAdmin(readiness, onDrainRequest);
    admin.start();
    callers =
        CallerServer.start(
            callerSettings(settings),
            new CallerServerDependencies(
                decisions.engine(),
                runtime.workers(),
                connections,
                runtime.clock(),
                runtime.counters(),
                runtime.eventLog(),
                new KumquatvaneDialect(runtime.clock(), sizeLimits(settings), runtime.monitor()),
                draining::get));
    fleet.start();
    decisions.start();
    distributor.start();
  }

  private AdminServer createAdmin(ReadinessState readiness, Runnable onDrainRequest)
      throws IOException {
    Optional<Secret> secret = settings.adminListener().token();
    Optional<String> token =
        secret.isPresent() ? Optional.of(SecretReader.read(secret.get())) : Optional.empty();
    return new AdminServer(
        new AdminSettings(settings.adminListener().endpoint(), token),
        List.of(
            new AdminRoute("/v1/configuration", new ConfigurationReport(configuration)),
            new AdminRoute("/v1/instances", new InstancesReport(decisions.instances())),
            new AdminRoute(
                "/v1/workspaces", new WorkspacesReport(configuration, decisions::ownedFraction)),
            new AdminRoute("/v1/peers", new PeersReport(fleet.membership())),
            new AdminRoute(
                "/v1/work",
                new WorkReport(decisions.engine()::inFlight, runtime.workers()::queued))),
        readiness,
        runtime.metrics(),
        onDrainRequest,
        runtime.workers(),
        Optional.empty());
  }

  /**
   * Starts the server.
   *
   * @param settings settings of the VM
   * @param eventLog receives events
   * @param onDrainRequest called when an operator requests a planned stop
   * @return the running server, or why it could not start
   */
  public static StartResult<ProxyServer> start(
      Settings settings, EventLog eventLog, Runnable onDrainRequest) {
    try {
      return new StartResult.Started<>(new ProxyServer(settings, eventLog, onDrainRequest));
    } catch (IOException | GeneralSecurityException e) {
      return new StartResult.Failed<>(
          e.getMessage() + "; correct the settings or free the address");
    }
  }

  private static CallerServerSettings callerSettings(Settings settings) {
    return new CallerServerSettings(
        settings.callerListener().endpoint(),
        CallerProtocol.valueOf(settings.callerListener().protocol().name()),
        settings
            .callerListener()
            .tls()
            .map(files -> new TlsFiles(files.certificate(), files.key())),
        sizeLimits(settings),
        Optional.empty());
  }

  private static MessageSizeLimits sizeLimits(Settings settings) {
    return new MessageSizeLimits(
        settings.requestLimits().maximumHeadBytes(),
        settings.requestLimits().bufferedBodyBytes(),
        false,
        settings.requestLimits().maximumBufferedBytes());
  }

  /**
   * Performs a planned stop and blocks until it is complete.
   *
   * @return the outcome
   */
  public StopOutcome stop() {
    Deadline deadline = Deadline.after(runtime.clock(), settings.drain().drainDeadline());
    draining.set(true);
    runtime.eventLog().record(EventLog.Level.INFO, "drain_started");
    decisions
        .engine()
        .stop(
            Deadline.after(runtime.clock(), settings.drain().drainNotice()),
            new Deadline(deadline.nanos() - ANSWER_TIME.toNanos()));
    Pause.sleep(settings.drain().drainNotice());
    boolean complete =
        callers.closeGracefully(Duration.ofNanos(deadline.remainingNanos(runtime.clock())));
    runtime
        .eventLog()
        .record(EventLog.Level.INFO, "drain_ended", LogField.of("complete", complete));
    decisions.handOver();
    Pause.sleep(DEPARTURE_NOTICE_TIME);
    decisions.close();
    fleet.membership().depart();
    Pause.sleep(DEPARTURE_NOTICE_TIME);
    distributor.close();
    admin.close();
    fleet.close();
    connections.close();
    platform.close();
    runtime.close();
    return complete ? StopOutcome.COMPLETE : StopOutcome.DEADLINE_PASSED;
  }
}
