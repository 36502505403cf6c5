package org.kumquatvane.server;

import java.io.IOException;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.kumquatvane.admin.AdminRoute;
import org.kumquatvane.admin.AdminServer;
import org.kumquatvane.admin.AdminSettings;
import org.kumquatvane.admin.ConfigurationReport;
import org.kumquatvane.admin.InstancesReport;
import org.kumquatvane.admin.WorkReport;
import org.kumquatvane.admission.FairAdmissionQueue;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.document.ConfigurationTable;
import org.kumquatvane.document.SelectionMode;
import org.kumquatvane.ejection.NoEjection;
import org.kumquatvane.engine.EngineDependencies;
import org.kumquatvane.engine.RequestEngine;
import org.kumquatvane.http.BackendConnections;
import org.kumquatvane.http.BodyLimits;
import org.kumquatvane.http.CallerProtocol;
import org.kumquatvane.http.CallerServer;
import org.kumquatvane.http.CallerServerDependencies;
import org.kumquatvane.http.CallerServerSettings;
import org.kumquatvane.http.TlsFiles;
import org.kumquatvane.keys.CompactKeyTable;
import org.kumquatvane.limits.StaticDivisionLimiter;
import org.kumquatvane.platform.PlatformClient;
import org.kumquatvane.routing.DocumentRouteTable;
import org.kumquatvane.selection.RoundRobinSelection;
import org.kumquatvane.selection.SelectionPolicy;
import org.kumquatvane.selection.TrackedInstancePool;
import org.kumquatvane.selection.TwoChoicesSelection;
import org.kumquatvane.server.internal.DirectPlatformReader;
import org.kumquatvane.server.internal.InstanceFeed;
import org.kumquatvane.server.internal.ProcessRuntime;
import org.kumquatvane.server.internal.ReadinessState;
import org.kumquatvane.server.internal.RetryPolicies;
import org.kumquatvane.settings.Settings;

/** One running proxy process. */
public final class ProxyServer {
  private final Settings settings;
  private final ProcessRuntime runtime;
  private final AtomicBoolean draining = new AtomicBoolean();
  private final CallerServer callers;
  private final AdminServer admin;
  private final BackendConnections connections;
  private final PlatformClient platform;

  private ProxyServer(Settings settings, EventLog eventLog, Runnable onDrainRequest)
      throws IOException, GeneralSecurityException {
    this.settings = settings;
    runtime = new ProcessRuntime(settings, eventLog);
    UniformRandomProvider random =
        RandomSource.XO_RO_SHI_RO_128_PP.create(RandomSource.createLong());
    CompactKeyTable keys = new CompactKeyTable();
    DocumentRouteTable routes = new DocumentRouteTable();
    StaticDivisionLimiter limiter = new StaticDivisionLimiter(runtime.clock());
    FairAdmissionQueue queue = new FairAdmissionQueue(runtime.clock());
    NoEjection health = new NoEjection();
    TrackedInstancePool instances =
        new TrackedInstancePool(
            runtime.clock(), health, mode -> selection(mode, random), runtime.monitor());
    RequestEngine engine =
        new RequestEngine(
            new EngineDependencies(
                runtime.clock(),
                runtime.workers(),
                runtime.scheduler(),
                keys,
                routes,
                limiter,
                new org.kumquatvane.server.internal.TemporaryLedger(),
                queue,
                instances,
                health,
                new org.kumquatvane.server.internal.TemporaryCrashGuard(),
                RetryPolicies.create(runtime.clock(), random, runtime.counters()),
                service -> Math.max(1, service.capacity().maximumConnections() / 40),
                runtime.counters(),
                runtime.eventLog(),
                runtime.monitor()),
            settings.requests().maximumInFlight());
    ConfigurationTable configuration =
        new ConfigurationTable(
            List.of(keys, routes, limiter, queue, instances, engine), runtime.monitor());
    connections = new BackendConnections(runtime.clock());
    platform = new PlatformClient(settings.platform().endpoint());
    DirectPlatformReader reader =
        new DirectPlatformReader(
            platform,
            settings.platform().documentName(),
            configuration,
            List.of(new InstanceFeed(instances, connections, engine)),
            runtime.workers(),
            runtime.scheduler(),
            runtime.clock(),
            runtime.eventLog());
    ReadinessState readiness = new ReadinessState();
    readiness.require("no_configuration", () -> configuration.current().isPresent());
    readiness.require("no_vm_list", reader::hasList);
    readiness.require("draining", () -> !draining.get());
    admin =
        new AdminServer(
            new AdminSettings(settings.adminListener().endpoint(), java.util.Optional.empty()),
            List.of(
                new AdminRoute("/v1/configuration", new ConfigurationReport(configuration)),
                new AdminRoute("/v1/instances", new InstancesReport(instances)),
                new AdminRoute(
                    "/v1/work", new WorkReport(engine::inFlight, runtime.workers()::queued))),
            readiness,
            runtime.metrics(),
            onDrainRequest,
            runtime.workers());
    admin.start();
    callers =
        CallerServer.start(
            callerSettings(settings),
            new CallerServerDependencies(
                engine,
                runtime.workers(),
                connections,
                runtime.clock(),
                runtime.counters(),
                runtime.eventLog(),
                runtime.monitor(),
                draining::get));
    reader.start();
  }

  /**
   * Starts a process.
   *
   * @param settings settings of the VM
   * @param eventLog receives events
   * @param onDrainRequest called when an operator asks for a planned stop
   * @return the running server, or why it cannot start
   */
  public static StartResult start(Settings settings, EventLog eventLog, Runnable onDrainRequest) {
    try {
      return new StartResult.Started(new ProxyServer(settings, eventLog, onDrainRequest));
    } catch (IOException | GeneralSecurityException e) {
      return new StartResult.Failed(e.getMessage() + "; correct the settings or free the address");
    }
  }

  private static SelectionPolicy selection(SelectionMode mode, UniformRandomProvider random) {
    return switch (mode) {
      case ROUND_ROBIN -> new RoundRobinSelection();
      case TWO_CHOICES -> new TwoChoicesSelection(random);
    };
  }

  private static CallerServerSettings callerSettings(Settings settings) {
    return new CallerServerSettings(
        settings.callerListener().endpoint(),
        CallerProtocol.valueOf(settings.callerListener().protocol().name()),
        settings
            .callerListener()
            .tls()
            .map(files -> new TlsFiles(files.certificate(), files.key())),
        new BodyLimits(
            settings.requests().maximumHeadBytes(),
            settings.requests().bufferedBodyBytes(),
            settings.requests().maximumBufferedBytes()));
  }

  /**
   * Performs a planned stop and blocks until it has ended.
   *
   * @return how it ended
   */
  public ServerClosing stop() {
    Deadline deadline = Deadline.after(runtime.clock(), settings.stop().drainDeadline());
    draining.set(true);
    runtime.eventLog().record(EventLog.Level.INFO, "drain_started");
    pause(settings.stop().drainNotice());
    boolean complete =
        callers.closeGracefully(Duration.ofNanos(deadline.remainingNanos(runtime.clock())));
    runtime
        .eventLog()
        .record(EventLog.Level.INFO, "drain_ended", LogField.of("complete", complete));
    admin.close();
    connections.close();
    platform.close();
    runtime.close();
    return complete ? ServerClosing.COMPLETE : ServerClosing.DEADLINE_PASSED;
  }

  private static void pause(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
