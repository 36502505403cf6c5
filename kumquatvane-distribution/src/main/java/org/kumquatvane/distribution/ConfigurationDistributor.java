package org.kumquatvane.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.OrderedEffects;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.VmId;
import org.kumquatvane.distribution.internal.ContentStore;
import org.kumquatvane.distribution.internal.DocumentTransfer;
import org.kumquatvane.distribution.internal.ReaderSelection;
import org.kumquatvane.distribution.internal.WatchLoop;
import org.kumquatvane.distribution.internal.WatchLoop.CallResult;
import org.kumquatvane.distribution.internal.WithdrawnKeys;
import org.kumquatvane.document.Acceptance;
import org.kumquatvane.document.ConfigurationTable;
import org.kumquatvane.document.Document;
import org.kumquatvane.keys.KeyTable;
import org.kumquatvane.membership.ConfigurationVersions;
import org.kumquatvane.membership.FleetMembership;
import org.kumquatvane.membership.MembershipListener;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmListListener;

/**
 * Distributes documents, key withdrawals and VM lists to all VMs (docs/design.md, 7.2). A few
 * readers in each failure domain watch the platform and send changes to the other VMs. Heartbeats
 * carry the versions of each VM, so that lost messages are detected and sent again.
 */
public final class ConfigurationDistributor implements MembershipListener {
  private final DistributionSettings settings;
  private final FleetMembership membership;
  private final ConfigurationTable table;
  private final KeyTable keys;
  private final DocumentDecoder decoder;
  private final PlatformSource source;
  private final List<VmListListener> vmListListeners;
  private final LocalConfigurationVersions localVersions;
  private final PeerSender sender;
  private final Clock clock;
  private final Scheduler scheduler;
  private final Counters counters;
  private final EventLog eventLog;
  private final RankedLock lock = new RankedLock(LockRank.DISTRIBUTION);
  private final OrderedEffects effects = new OrderedEffects();
  private final WatchLoop documentWatchLoop;
  private final WatchLoop vmListWatchLoop;
  private final ContentStore contents = new ContentStore();
  private final Set<ContentDigest> rejectedDigests = new HashSet<>();
  private final Map<KeyDigest, Long> withdrawals = new HashMap<>();
  private final Deadline peerWaitDeadline;
  private @Nullable DocumentOffer inForce;
  private @Nullable DocumentTransfer transfer;
  private @Nullable VmList newestVmList;
  private long highestOfferedGeneration;
  private long highestReportedVmListVersion;
  private Deadline settleDeadline;
  private boolean sourceTrusted;
  private boolean closed;

  /**
   * Creates a distributor; {@link #start} starts reading and sending inquiries to peers.
   *
   * @param settings time limits, reader count and value name
   * @param membership VM list and liveness of peers; the caller registers this object as its
   *     listener
   * @param table holds the document in force
   * @param keys key table to which withdrawals are applied
   * @param decoder parses documents
   * @param source the platform
   * @param vmListListeners notified of each newer VM list in the given order; membership first
   * @param localVersions updated with the versions that heartbeats report
   * @param sender sends to other VMs
   * @param clock clock of this VM
   * @param scheduler runs the periodic check and parsing
   * @param counters counts accepted and rejected documents and failed reads
   * @param eventLog receives rejected documents and failed transfers
   */
  public ConfigurationDistributor(
      DistributionSettings settings,
      FleetMembership membership,
      ConfigurationTable table,
      KeyTable keys,
      DocumentDecoder decoder,
      PlatformSource source,
      List<VmListListener> vmListListeners,
      LocalConfigurationVersions localVersions,
      PeerSender sender,
      Clock clock,
      Scheduler scheduler,
      Counters counters,
      EventLog eventLog) {
    this.settings = settings;
    this.membership = membership;
    this.table = table;
    this.keys = keys;
    this.decoder = decoder;
    this.source = source;
    this.vmListListeners = List.copyOf(vmListListeners);
    this.localVersions = localVersions;
    this.sender = sender;
    this.clock = clock;
    this.scheduler = scheduler;
    this.counters = counters;
    this.eventLog = eventLog;
    peerWaitDeadline = Deadline.after(clock, settings.peerWaitTimeout());
    settleDeadline = new Deadline(clock.monotonicNanos());
    documentWatchLoop = newWatchLoop(this::readDocument);
    vmListWatchLoop = newWatchLoop(this::readVmList);
  }

  private WatchLoop newWatchLoop(WatchLoop.Call call) {
    return new WatchLoop(
        clock, scheduler, settings.minimumCallInterval(), settings.maximumWatchTime(), call);
  }

  /**
   * Registers the handlers of the messages of this module.
   *
   * @param dispatcher delivers received messages
   */
  public void registerHandlers(PeerDispatcher dispatcher) {
    dispatcher.register(DocumentOffer.class, this::handle);
    dispatcher.register(DocumentRequest.class, this::handle);
    dispatcher.register(DocumentPart.class, this::handle);
    dispatcher.register(ConfigurationInquiry.class, this::handle);
    dispatcher.register(KeyWithdrawal.class, this::handle);
    dispatcher.register(VmListReport.class, (from, report) -> applyVmList(report.list(), true));
  }

  /** Starts the periodic check. */
  public void start() {
    tick();
  }

  /** Stops the periodic check and the watches. */
  public void close() {
    lock.run(() -> closed = true);
    documentWatchLoop.setActive(false);
    vmListWatchLoop.setActive(false);
  }

  /**
   * Returns the memory used by the bytes of documents.
   *
   * @return size in bytes of the document in force, its fragments and the received content of the
   *     next document
   */
  public long contentBytes() {
    return lock.call(contents::sizeBytes);
  }

  private void tick() {
    boolean isReader = ReaderSelection.includesSelf(membership, settings.readersPerDomain());
    boolean watchesDocument = lock.call(() -> !closed && isReader && trustsSource());
    documentWatchLoop.setActive(watchesDocument);
    vmListWatchLoop.setActive(isReader && !lock.call(() -> closed));
    updateState(
        () -> {
          if (closed) {
            return;
          }
          DocumentTransfer current = transfer;
          if (current != null && current.partDeadline().isReached(clock)) {
            logEvent(
                EventLog.Level.INFO,
                "document_transfer_timed_out",
                LogField.of("peer", current.peer()));
            transfer = null;
          }
          if (!sourceTrusted) {
            sendToAll(new ConfigurationInquiry(localVersions.get()));
          }
          scheduler.schedule(Deadline.after(clock, settings.tickInterval()), this::tick);
        });
  }

  /**
   * Returns whether this VM may read documents from the platform. The platform's copy can be hours
   * old, so a starting VM waits until it has a document of a peer or the peer wait ends.
   */
  private boolean trustsSource() {
    sourceTrusted |= peerWaitDeadline.isReached(clock);
    return sourceTrusted;
  }

  // Platform reads.

  private void readVmList(WatchOptions options, Consumer<CallResult> onResult) {
    source.fetchVmList(
        options,
        response -> {
          if (response instanceof VmListResponse.Current current) {
            applyVmList(current.list(), false);
            onResult.accept(new CallResult.Changed(current.list().version()));
          } else if (response instanceof VmListResponse.Unchanged) {
            onResult.accept(new CallResult.Unchanged());
          } else {
            counters.add("distribution.source.list_unavailable", 1);
            onResult.accept(new CallResult.Failed());
          }
        });
  }

  private void readDocument(WatchOptions options, Consumer<CallResult> onResult) {
    source.fetchValue(
        settings.valueName(),
        options,
        response -> {
          if (response instanceof ValueResponse.Current current) {
            // Parses on a worker so that the I/O thread of the platform connection is not blocked.
            runAsync(() -> fetchFragments(current, onResult));
          } else if (response instanceof ValueResponse.Unchanged) {
            onResult.accept(new CallResult.Unchanged());
          } else {
            counters.add("distribution.source.document_unavailable", 1);
            onResult.accept(new CallResult.Failed());
          }
        });
  }

  private void fetchFragments(ValueResponse.Current main, Consumer<CallResult> onResult) {
    ContentDigest digest = ContentDigest.of(main.bytes());
    List<DocumentFragment> fragments = decoder.fragments(main.bytes());
    boolean known = lock.call(() -> rejectedDigests.contains(digest) || isInForce(digest));
    List<DocumentFragment> missing = lock.call(() -> contents.missing(fragments));
    if (known || missing.isEmpty()) {
      if (!known) {
        parseAndApply(main.bytes(), fragments, null);
      }
      onResult.accept(new CallResult.Changed(main.version()));
      return;
    }
    DocumentFragment next = missing.get(0);
    source.fetchValue(
        next.name(),
        WatchOptions.IMMEDIATE,
        response -> {
          if (response instanceof ValueResponse.Current part
              && ContentDigest.of(part.bytes()).equals(next.digest())) {
            lock.run(() -> contents.put(next.digest(), part.bytes()));
            runAsync(() -> fetchFragments(main, onResult));
          } else {
            counters.add("distribution.source.fragment_unavailable", 1);
            onResult.accept(new CallResult.Failed());
          }
        });
  }

  // Documents.

  /** Parses a complete document and puts it into force. Must be called without the lock. */
  private void parseAndApply(byte[] main, List<DocumentFragment> fragments, @Nullable VmId peer) {
    ContentDigest digest = ContentDigest.of(main);
    DocumentDecoder.Result result =
        decoder.parse(main, part -> lock.call(() -> contents.get(part.digest())));
    if (result instanceof DocumentDecoder.Result.Invalid invalid) {
      counters.add("distribution.documents.invalid", 1);
      updateState(() -> reject(digest, "document_invalid", invalid.detail()));
    } else if (result instanceof DocumentDecoder.Result.Valid valid) {
      withdrawRemovedKeys(valid.document(), peer == null);
      offerToTable(valid.document(), digest, main, fragments, peer);
    }
  }

  private void withdrawRemovedKeys(Document next, boolean fromSource) {
    Optional<Document> current = table.current();
    if (current.isEmpty() || current.get().generation() >= next.generation()) {
      return;
    }
    List<KeyDigest> withdrawn = WithdrawnKeys.between(current.get(), next);
    withdrawn.forEach(key -> keys.withdraw(key, next.generation()));
    if (fromSource) {
      updateState(() -> withdrawalMessages(next.generation(), withdrawn).forEach(this::sendToAll));
    }
  }

  private void offerToTable(
      Document document,
      ContentDigest digest,
      byte[] main,
      List<DocumentFragment> fragments,
      @Nullable VmId peer) {
    Acceptance acceptance = table.offer(document);
    updateState(
        () -> {
          if (acceptance instanceof Acceptance.Accepted) {
            counters.add("distribution.documents.accepted", 1);
            DocumentOffer held = inForce;
            if (held != null && held.generation() > document.generation()) {
              return;
            }
            DocumentOffer offer = new DocumentOffer(document.generation(), digest);
            inForce = offer;
            settleDeadline = Deadline.after(clock, settings.tickInterval());
            contents.put(digest, main);
            contents.retain(digest, fragments);
            rejectedDigests.clear();
            withdrawals.values().removeIf(generation -> generation <= offer.generation());
            sourceTrusted |= peer != null;
            if (peer == null && highestOfferedGeneration < offer.generation()) {
              sendToAll(offer);
            }
          } else if (acceptance instanceof Acceptance.Conflicting) {
            reportConflict(digest, document.generation());
          } else if (acceptance instanceof Acceptance.Older) {
            counters.add("distribution.documents.older", 1);
            reject(digest, "document_older", "generation " + document.generation());
          }
        });
  }

  private boolean isInForce(ContentDigest digest) {
    DocumentOffer held = inForce;
    return held != null && held.digest().equals(digest);
  }

  private void reportConflict(ContentDigest digest, long generation) {
    counters.add("distribution.documents.conflicting", 1);
    reject(
        digest,
        "document_conflicting",
        "generation "
            + generation
            + " has two contents; publish the intended one with a higher generation");
  }

  /** Logs a rejected document once and ignores its digest until another document is in force. */
  private void reject(ContentDigest digest, String event, String detail) {
    if (rejectedDigests.add(digest)) {
      logEvent(
          EventLog.Level.WARNING,
          event,
          LogField.of("digest", digest),
          LogField.of("detail", detail));
    }
  }

  // Messages.

  private void handle(VmId from, DocumentOffer offer) {
    updateState(
        () -> {
          highestOfferedGeneration = Math.max(highestOfferedGeneration, offer.generation());
          DocumentOffer held = inForce;
          DocumentTransfer current = transfer;
          if (rejectedDigests.contains(offer.digest())
              || (current != null && current.offer().generation() >= offer.generation())) {
            return;
          }
          if (held != null && offer.generation() <= held.generation()) {
            if (offer.generation() == held.generation() && !isInForce(offer.digest())) {
              reportConflict(offer.digest(), offer.generation());
            }
            return;
          }
          DocumentTransfer newTransfer =
              new DocumentTransfer(from, offer, Deadline.after(clock, settings.partTimeout()));
          transfer = newTransfer;
          send(from, newTransfer.nextRequest());
        });
  }

  private void handle(VmId from, DocumentRequest request) {
    updateState(
        () -> {
          Optional<byte[]> content = contents.get(request.digest());
          if (content.isPresent() && request.offset() >= 0) {
            byte[] whole = content.get();
            int offset = Math.min(request.offset(), whole.length);
            int end = Math.min(whole.length, offset + DocumentPart.MAXIMUM_BYTES);
            byte[] part = Arrays.copyOfRange(whole, offset, end);
            send(from, new DocumentPart(request.digest(), whole.length, offset, part));
          } else if (inForce != null) {
            send(from, inForce);
          }
        });
  }

  private void handle(VmId from, DocumentPart part) {
    updateState(
        () -> {
          DocumentTransfer current = transfer;
          if (current == null || !current.peer().equals(from)) {
            return;
          }
          Deadline nextDeadline = Deadline.after(clock, settings.partTimeout());
          DocumentTransfer.Progress progress = current.add(part, nextDeadline);
          if (progress instanceof DocumentTransfer.Progress.MorePartsNeeded) {
            send(from, current.nextRequest());
          } else if (progress instanceof DocumentTransfer.Progress.ContentComplete content) {
            contents.put(content.digest(), content.bytes());
            runAsync(() -> onContentReceived(current, content.digest()));
          } else if (progress instanceof DocumentTransfer.Progress.Failed failed) {
            transfer = null;
            logEvent(
                EventLog.Level.WARNING,
                "document_transfer_failed",
                LogField.of("peer", from),
                LogField.of("detail", failed.detail()));
          }
        });
  }

  /** Requests missing fragments after the main bytes, and puts a complete document into force. */
  private void onContentReceived(DocumentTransfer current, ContentDigest receivedDigest) {
    ContentDigest mainDigest = current.offer().digest();
    Optional<byte[]> main = lock.call(() -> contents.get(mainDigest));
    if (main.isEmpty()) {
      return;
    }
    List<DocumentFragment> fragments = decoder.fragments(main.get());
    AtomicBoolean complete = new AtomicBoolean();
    updateState(
        () -> {
          if (transfer != current) {
            return;
          }
          if (receivedDigest.equals(mainDigest)) {
            current.enqueue(contents.missing(fragments));
          }
          Optional<DocumentRequest> next = current.nextContent();
          next.ifPresent(request -> send(current.peer(), request));
          if (next.isEmpty()) {
            transfer = null;
            complete.set(true);
          }
        });
    if (complete.get()) {
      parseAndApply(main.get(), fragments, current.peer());
    }
  }

  private void handle(VmId from, KeyWithdrawal withdrawal) {
    updateState(
        () -> {
          DocumentOffer held = inForce;
          if (held != null && withdrawal.generation() <= held.generation()) {
            return;
          }
          for (KeyDigest key : withdrawal.digests()) {
            withdrawals.merge(key, withdrawal.generation(), Math::max);
          }
          effects.add(
              () ->
                  withdrawal.digests().forEach(key -> keys.withdraw(key, withdrawal.generation())));
        });
  }

  private void handle(VmId from, ConfigurationInquiry inquiry) {
    updateState(() -> sendNewerVersions(from, inquiry.known()));
  }

  @Override
  public void heartbeatReceived(VmId vm, ConfigurationVersions known) {
    updateState(
        () -> {
          // Right after a change the reported versions do not yet include messages in flight.
          if (settleDeadline.isReached(clock)) {
            sendNewerVersions(vm, known);
          }
        });
  }

  private void sendNewerVersions(VmId peer, ConfigurationVersions known) {
    DocumentOffer held = inForce;
    VmList list = newestVmList;
    if (known.withdrawalCount() < withdrawals.size()) {
      Map<Long, List<KeyDigest>> byGeneration = new HashMap<>();
      withdrawals.forEach(
          (key, generation) ->
              byGeneration.computeIfAbsent(generation, g -> new ArrayList<>()).add(key));
      byGeneration.forEach(
          (generation, digests) ->
              withdrawalMessages(generation, digests).forEach(message -> send(peer, message)));
    }
    if (held != null && known.generation() < held.generation()) {
      send(peer, held);
    }
    if (list != null && known.vmListVersion() < list.version()) {
      send(peer, new VmListReport(list));
    }
  }

  private void applyVmList(VmList list, boolean fromPeer) {
    updateState(
        () -> {
          if (fromPeer) {
            highestReportedVmListVersion = Math.max(highestReportedVmListVersion, list.version());
          }
          VmList known = newestVmList;
          if (known != null && list.version() <= known.version()) {
            return;
          }
          newestVmList = list;
          settleDeadline = Deadline.after(clock, settings.tickInterval());
          effects.add(() -> vmListListeners.forEach(listener -> listener.vmListChanged(list)));
          if (!fromPeer && highestReportedVmListVersion < list.version()) {
            sendToAll(new VmListReport(list));
          }
        });
  }

  private static List<KeyWithdrawal> withdrawalMessages(long generation, List<KeyDigest> digests) {
    List<KeyWithdrawal> messages = new ArrayList<>();
    for (int start = 0; start < digests.size(); start += KeyWithdrawal.MAXIMUM_DIGESTS) {
      int end = Math.min(digests.size(), start + KeyWithdrawal.MAXIMUM_DIGESTS);
      messages.add(new KeyWithdrawal(generation, digests.subList(start, end)));
    }
    return messages;
  }

  /** Runs an update under the lock and then the effects that it queued outside the lock. */
  private void updateState(Runnable update) {
    lock.run(
        () -> {
          update.run();
          DocumentOffer held = inForce;
          VmList list = newestVmList;
          localVersions.set(
              new ConfigurationVersions(
                  held == null ? 0 : held.generation(),
                  withdrawals.size(),
                  list == null ? 0 : list.version()));
        });
    effects.drain();
  }

  private void runAsync(Runnable task) {
    scheduler.schedule(new Deadline(clock.monotonicNanos()), task);
  }

  private void sendToAll(PeerMessage message) {
    effects.add(
        () -> {
          for (Vm vm : membership.listedVms()) {
            if (!vm.id().equals(membership.self().id())) {
              sender.send(vm.id(), message);
            }
          }
        });
  }

  private void send(VmId destination, PeerMessage message) {
    effects.add(() -> sender.send(destination, message));
  }

  private void logEvent(EventLog.Level level, String event, LogField... fields) {
    effects.add(() -> eventLog.record(level, event, fields));
  }
}
