package org.kumquatvane.server.internal;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.WorkerPool;
import org.kumquatvane.document.Acceptance;
import org.kumquatvane.document.ConfigurationTable;
import org.kumquatvane.documents.DocumentParser;
import org.kumquatvane.documents.DocumentResult;
import org.kumquatvane.documents.FragmentSource;
import org.kumquatvane.membership.VmListListener;
import org.kumquatvane.platform.PlatformAnswer;
import org.kumquatvane.platform.PlatformClient;
import org.kumquatvane.platform.PlatformValue;
import org.kumquatvane.platform.PlatformWatch;
import org.kumquatvane.platform.VmListParser;

/** Reads and watches the platform from this VM. */
public final class DirectPlatformReader {
  private static final Duration LONGEST_WAIT = Duration.ofSeconds(20);
  private static final Duration RETRY_PAUSE = Duration.ofSeconds(1);

  private final PlatformClient platform;
  private final String documentName;
  private final ConfigurationTable configuration;
  private final List<VmListListener> listListeners;
  private final WorkerPool workers;
  private final Scheduler scheduler;
  private final Clock clock;
  private final EventLog eventLog;
  private final DocumentParser documents = new DocumentParser();
  private final VmListParser lists = new VmListParser();
  private volatile boolean hasList;

  /**
   * Creates a reader that does not read yet.
   *
   * @param platform the platform
   * @param documentName name of the value with the document
   * @param configuration receives documents
   * @param listListeners receive VM lists
   * @param workers runs parsing
   * @param scheduler runs retries
   * @param clock clock of the retries
   * @param eventLog receives changes
   */
  public DirectPlatformReader(
      PlatformClient platform,
      String documentName,
      ConfigurationTable configuration,
      List<VmListListener> listListeners,
      WorkerPool workers,
      Scheduler scheduler,
      Clock clock,
      EventLog eventLog) {
    this.platform = platform;
    this.documentName = documentName;
    this.configuration = configuration;
    this.listListeners = List.copyOf(listListeners);
    this.workers = workers;
    this.scheduler = scheduler;
    this.clock = clock;
    this.eventLog = eventLog;
  }

  /** Starts to watch. */
  public void start() {
    watchDocument(PlatformWatch.NOW);
    watchList(PlatformWatch.NOW);
  }

  /**
   * Tells whether a VM list was read.
   *
   * @return true after the first list
   */
  public boolean hasList() {
    return hasList;
  }

  private void watchDocument(PlatformWatch watch) {
    platform.value(
        documentName,
        watch,
        answer -> workers.resume(() -> next(answer, watch, this::offer, this::watchDocument)));
  }

  private void watchList(PlatformWatch watch) {
    platform.vmList(
        watch,
        answer -> workers.resume(() -> next(answer, watch, this::acceptList, this::watchList)));
  }

  private void next(
      PlatformAnswer answer,
      PlatformWatch watch,
      Consumer<PlatformValue> accept,
      Consumer<PlatformWatch> again) {
    if (answer instanceof PlatformAnswer.Current current) {
      accept.accept(current.value());
      again.accept(new PlatformWatch(OptionalLong.of(current.value().version()), LONGEST_WAIT));
    } else if (answer instanceof PlatformAnswer.Unchanged) {
      again.accept(watch);
    } else {
      eventLog.record(
          EventLog.Level.WARNING, "platform_unavailable", LogField.of("detail", answer));
      scheduler.schedule(Deadline.after(clock, RETRY_PAUSE), () -> again.accept(watch));
    }
  }

  private void offer(PlatformValue value) {
    DocumentResult result = documents.parse(documentName, value.bytes(), FragmentSource.NONE);
    if (result instanceof DocumentResult.Parsed parsed) {
      Acceptance acceptance = configuration.offer(parsed.document());
      eventLog.record(EventLog.Level.INFO, "document_offered", LogField.of("outcome", acceptance));
    } else {
      eventLog.record(EventLog.Level.WARNING, "document_invalid", LogField.of("faults", result));
    }
  }

  private void acceptList(PlatformValue value) {
    lists
        .parse(value.bytes())
        .ifPresentOrElse(
            list -> {
              listListeners.forEach(listener -> listener.vmListChanged(list));
              hasList = true;
            },
            () -> eventLog.record(EventLog.Level.WARNING, "vm_list_malformed"));
  }
}
