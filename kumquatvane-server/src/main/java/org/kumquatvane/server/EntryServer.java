package org.kumquatvane.server;

import com.codahale.metrics.MetricRegistry;
import io.servicetalk.transport.api.IoExecutor;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.kumquatvane.admin.AdminRoute;
import org.kumquatvane.admin.AdminServer;
import org.kumquatvane.admin.AdminSettings;
import org.kumquatvane.admin.ConfigurationReport;
import org.kumquatvane.admin.InstancesReport;
import org.kumquatvane.admin.SourceReport;
import org.kumquatvane.admin.WorkReport;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.distribution.ItemFeed;
import org.kumquatvane.distribution.ItemFeedSettings;
import org.kumquatvane.document.ConfigurationTable;
import org.kumquatvane.http.BackendConnectionPool;
import org.kumquatvane.http.BackendConnectionSettings;
import org.kumquatvane.http.CallerProtocol;
import org.kumquatvane.http.CallerServer;
import org.kumquatvane.http.CallerServerDependencies;
import org.kumquatvane.http.CallerServerSettings;
import org.kumquatvane.http.ExtraBytesLog;
import org.kumquatvane.http.IoThreads;
import org.kumquatvane.http.MessageSizeLimits;
import org.kumquatvane.platform.PlatformDialect;
import org.kumquatvane.platform.StoreClient;
import org.kumquatvane.platform.StoreItemRules;
import org.kumquatvane.platform.StoreItemTranslator;
import org.kumquatvane.selection.InstanceRegistry;
import org.kumquatvane.server.internal.EntryDecisionComponents;
import org.kumquatvane.server.internal.EntryFleetComponents;
import org.kumquatvane.server.internal.ProcessRuntime;
import org.kumquatvane.server.internal.ReadinessState;
import org.kumquatvane.settings.EntrySettings;

/** Server of one entry VM. */
public final class EntryServer {
  /**
   * Time for which a stopping VM still accepts connections; the load balancer polls the readiness
   * once a second.
   */
  private static final Duration DRAIN_NOTICE = Duration.ofMillis(2_500);

  /** Part of the stop grace period reserved for the exit of the process. */
  private static final Duration EXIT_TIME = Duration.ofMillis(400);

  /** Time between the last answer of a stopping VM and the close of its connections. */
  private static final Duration ANSWER_TIME = Duration.ofMillis(100);

  /** Maximum size of a request head; the configurations allow 16 KB. */
  private static final int MAXIMUM_HEAD_BYTES = 16_384;

  /** Maximum size of a buffered body; buffering makes a request retryable. */
  private static final int MAXIMUM_BUFFERED_BODY_BYTES = 256 << 10;

  /** Maximum total size of buffered request and response bodies: an eighth of the heap. */
  private static final long MAXIMUM_TOTAL_BUFFERED_BYTES = 12L << 20;

  /**
   * Connecting within the region takes at most 6 ms, so a longer wait indicates an unreachable
   * instance. The request has certainly not run in that case.
   */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

  /** Shorter than the 10 s after which instances close idle connections. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(8);

  /**
   * Idle time after which an instance or a middlebox may have dropped a connection without notice;
   * instances close idle connections after 10 s.
   */
  private static final Duration NON_RETRYABLE_IDLE_LIMIT = Duration.ofSeconds(6);

  private final EntrySettings settings;
  private final ProcessRuntime runtime;
  private final AtomicBoolean draining = new AtomicBoolean();
  private final IoExecutor ioExecutor;
  private final CallerServer callers;
  private final AdminServer admin;
  private final BackendConnectionPool connections;
  private final StoreClient store;
  private final EntryFleetComponents fleet;
  private final EntryDecisionComponents decisions;
  private final ItemFeed feed;

  private EntryServer(EntrySettings settings, EventLog eventLog, Runnable onDrainRequest)
      throws IOException, GeneralSecurityException {
    this.settings = settings;
    runtime = new ProcessRuntime(settings.workerThreads(), eventLog);
    ioExecutor = IoThreads.create(1);
    fleet = new EntryFleetComponents(settings, runtime);
    decisions = new EntryDecisionComponents(settings, runtime, fleet);
    ConfigurationTable configuration =
        new ConfigurationTable(decisions.documentListeners(), runtime.monitor());
    connections =
        new BackendConnectionPool(
            runtime.clock(),
            new BackendConnectionSettings(CONNECT_TIMEOUT, IDLE_TIMEOUT, NON_RETRYABLE_IDLE_LIMIT),
            ioExecutor,
            new ExtraBytesLog(eventLog, runtime.counters()));
    InstanceRegistry instanceRegistry =
        new InstanceRegistry(
            runtime.clock(),
            runtime.scheduler(),
            eventLog,
            instances -> {
              decisions.instances().update(instances);
              connections.update(instances);
            });
    StoreItemRules itemRules = new StoreItemRules(runtime.clock());
    store =
        new StoreClient(
            settings.sourceEndpoint(), itemRules, ioExecutor, runtime.counters(), eventLog);
    feed =
        new ItemFeed(
            ItemFeedSettings.STANDARD,
            store,
            itemRules,
            fleet.membership()::localPeers,
            () -> fleet.membership().rank(ItemFeed.readerSelectionKey()),
            fleet.network(),
            new StoreItemTranslator(
                configuration, instanceRegistry, runtime.clock(), runtime.counters(), eventLog),
            runtime.clock(),
            runtime.scheduler(),
            runtime.counters(),
            eventLog);
    feed.registerHandlers(fleet.dispatcher());
    registerSourceGauges();
    ReadinessState readiness = new ReadinessState();
    readiness.require("no_configuration", () -> configuration.current().isPresent());
    readiness.require("draining", () -> !draining.get());
    admin = createAdmin(configuration, readiness, onDrainRequest);
    admin.start();
    callers =
        CallerServer.start(
            new CallerServerSettings(
                settings.callerEndpoint(),
                CallerProtocol.HTTP1,
                Optional.empty(),
                new MessageSizeLimits(
                    MAXIMUM_HEAD_BYTES,
                    MAXIMUM_BUFFERED_BODY_BYTES,
                    true,
                    MAXIMUM_TOTAL_BUFFERED_BYTES),
                Optional.of(ioExecutor)),
            new CallerServerDependencies(
                decisions.engine(),
                runtime.workers(),
                connections,
                runtime.clock(),
                runtime.counters(),
                eventLog,
                new PlatformDialect(runtime.clock(), MAXIMUM_HEAD_BYTES),
                draining::get));
    fleet.start();
    decisions.start();
    feed.start();
    eventLog.record(
        EventLog.Level.INFO,
        "vm_started",
        LogField.of("failure_domain", settings.failureDomain()),
        LogField.of("callers", settings.callerEndpoint()),
        LogField.of("peers", settings.peerEndpoint()),
        LogField.of("source", settings.sourceEndpoint()));
  }

  private void registerSourceGauges() {
    MetricRegistry metrics = runtime.metrics();
    metrics.gauge("source.era", () -> () -> feed.status().position().era());
    metrics.gauge("source.revision", () -> () -> feed.status().position().revision());
    metrics.gauge("source.confirmed_age_ms", () -> () -> feed.status().ageMillis());
    metrics.gauge("source.retained_items", () -> () -> feed.status().retainedItems());
  }

  private AdminServer createAdmin(
      ConfigurationTable configuration, ReadinessState readiness, Runnable onDrainRequest) {
    return new AdminServer(
        new AdminSettings(settings.operatorEndpoint(), Optional.empty()),
        List.of(
            new AdminRoute("/v1/configuration", new ConfigurationReport(configuration)),
            new AdminRoute("/v1/instances", new InstancesReport(decisions.instances())),
            new AdminRoute(
                "/v1/work",
                new WorkReport(decisions.engine()::inFlight, runtime.workers()::queued)),
            new AdminRoute("/v1/source", new SourceReport(feed::status))),
        readiness,
        runtime.metrics(),
        onDrainRequest,
        runtime.workers(),
        Optional.of(ioExecutor));
  }

  /**
   * Starts the server.
   *
   * @param settings settings of the VM
   * @param eventLog receives events
   * @param onDrainRequest called when an operator requests a planned stop
   * @return the running server, or why it could not start
   */
  public static StartResult<EntryServer> start(
      EntrySettings settings, EventLog eventLog, Runnable onDrainRequest) {
    try {
      return new StartResult.Started<>(new EntryServer(settings, eventLog, onDrainRequest));
    } catch (IOException | GeneralSecurityException e) {
      return new StartResult.Failed<>(
          e.getMessage() + "; correct the settings or free the address");
    }
  }

  /**
   * Applies changed settings. Only the seeds are applied; all other settings need a restart.
   *
   * @param changed the changed settings
   */
  public void reload(EntrySettings changed) {
    fleet.membership().setSeeds(changed.seeds());
    runtime
        .eventLog()
        .record(
            EventLog.Level.INFO,
            "settings_reloaded",
            LogField.of("seeds", changed.seeds()),
            LogField.of("outcome", "applied"));
  }

  /**
   * Performs a planned stop and blocks until it is complete.
   *
   * @return the outcome
   */
  public StopOutcome stop() {
    Deadline deadline = Deadline.after(runtime.clock(), settings.stopGrace().minus(EXIT_TIME));
    draining.set(true);
    EventLog eventLog = runtime.eventLog();
    eventLog.record(
        EventLog.Level.INFO,
        "drain_started",
        LogField.of("in_flight", decisions.engine().inFlight()));
    decisions
        .engine()
        .stop(
            Deadline.after(runtime.clock(), DRAIN_NOTICE),
            new Deadline(deadline.nanos() - ANSWER_TIME.toNanos()));
    fleet.membership().leave();
    Pause.sleep(DRAIN_NOTICE);
    boolean complete =
        callers.closeGracefully(Duration.ofNanos(deadline.remainingNanos(runtime.clock())));
    eventLog.record(
        EventLog.Level.INFO,
        "drain_ended",
        LogField.of("complete", complete),
        LogField.of("in_flight", decisions.engine().inFlight()));
    feed.close();
    admin.close();
    fleet.close();
    connections.close();
    store.close();
    runtime.close();
    return complete ? StopOutcome.COMPLETE : StopOutcome.DEADLINE_PASSED;
  }
}
